//! A fingerprint of the parts of a request that a proxy must forward unchanged.

/// Returns the FNV-1a hash of the parts of a request that a proxy must forward unchanged (protocol
/// page, "Proxies to backends"): method, target, key and body, each terminated by a byte that none
/// of them contains.
pub fn request_fingerprint(method: &str, target: &str, key: Option<&str>, body: &[u8]) -> u64 {
    let parts = [
        method.as_bytes(),
        target.as_bytes(),
        key.unwrap_or_default().as_bytes(),
        body,
    ];
    let bytes = parts
        .into_iter()
        .flat_map(|part| part.iter().copied().chain([0xff]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
