//! A fingerprint of the parts of a request that a proxy must forward unchanged.

/// What of a request must go on unchanged (protocol page, "Proxies to backends"): method, target, key and body, as one
/// figure (FNV-1a, each part ended by a byte that none of them holds).
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
    bytes.fold(0xcbf2_9ce4_8422_2325, |h, byte| {
        (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
