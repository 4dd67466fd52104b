//! Fakes of the systems around a gateway, on loopback sockets: they follow the platform's published
//! protocol and fail as a script demands. Most run on current-thread runtimes inside a
//! [`LocalSet`](tokio::task::LocalSet) and write what they see to one
//! [`Recorder`](maplefall_event_trace::Recorder).
//!
//! The HTTP/1.1 fakes read and write the bytes themselves (with `httparse` for heads) instead of
//! using an HTTP library: they must be able to break off within a message, write malformed
//! messages, and distinguish the first byte of a request from its last.

pub mod agent;
pub mod auth;
pub mod backend;
pub mod client;
pub mod counter;
pub mod crowd;
pub mod etcd;
pub mod grpc;
pub mod lateness;
pub mod malformed_client;
pub mod measured_process;
pub mod relay;
pub mod wire;

/// Returns a pseudo-random number in `[0, 1)` that depends only on the arguments, so that the draw
/// for a request is the same whatever else happens. `item` names what is drawn for, `purpose`
/// distinguishes several draws for one item.
pub fn draw(seed: u64, item: u64, purpose: u64) -> f64 {
    // SplitMix64 (Steele, Lea, Flood 2014) over the three arguments.
    let mut z = seed
        ^ item.wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ^ purpose.wrapping_mul(0xd1b5_4a32_d192_ed03);
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the FNV-1a hash of a text, for use as a seed.
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn draws_are_uniform_and_reproducible() {
        let mean = (0..20_000).map(|i| draw(7, i, 1)).sum::<f64>() / 20_000.0;
        assert!((mean - 0.5).abs() < 0.01, "{mean}");
        assert_eq!(draw(7, 3, 1), draw(7, 3, 1));
        assert_ne!(draw(7, 3, 1), draw(7, 3, 2));
        assert_ne!(hash("a1"), hash("a2"));
    }
}
