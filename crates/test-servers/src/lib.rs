//! Played outside systems on loopback sockets, by the platform's published protocol: what a front door meets in
//! service, with failures by script. Everything runs on current-thread runtimes inside a
//! [`LocalSet`](tokio::task::LocalSet) and writes what it sees to one [`Recorder`](maplefall_event_trace::Recorder).
//!
//! They read and write HTTP/1.1 byte by byte (over `httparse`), not by an HTTP library: a stand-in must be able to
//! break off within a message, write what is none, and tell the first byte of a request from its last.

pub mod agent;
pub mod auth;
pub mod backend;
pub mod client;
pub mod counter;
pub mod etcd;
pub mod grpc;
pub mod lateness;
pub mod malformed_client;
pub mod relay;
pub mod wire;

/// A number from nought to one that depends on nothing but its seeds, so that what is drawn for a request is the same
/// whatever else happens.
pub fn draw(seed: u64, of: u64, what: u64) -> f64 {
    // SplitMix64 (Steele, Lea, Flood 2014) over the three words.
    let mut z =
        seed ^ of.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ what.wrapping_mul(0xd1b5_4a32_d192_ed03);
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// The words of a text as one seed (FNV-1a).
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_drawn_is_even_and_the_same_each_time() {
        let mean = (0..20_000).map(|i| draw(7, i, 1)).sum::<f64>() / 20_000.0;
        assert!((mean - 0.5).abs() < 0.01, "{mean}");
        assert_eq!(draw(7, 3, 1), draw(7, 3, 1));
        assert_ne!(draw(7, 3, 1), draw(7, 3, 2));
        assert_ne!(hash("a1"), hash("a2"));
    }
}
