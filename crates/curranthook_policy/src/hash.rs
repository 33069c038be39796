//! Hashes that are the same on every node and in every release, for rendezvous hashing and for
//! session and prompt keys. They are not resistant to chosen input.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes bytes (FNV-1a with a final mix).
///
/// ```
/// # use curranthook_policy::hash;
/// assert_eq!(hash::bytes(b"session-1"), hash::bytes(b"session-1"));
/// assert_ne!(hash::bytes(b"session-1"), hash::bytes(b"session-2"));
/// ```
pub fn bytes(input: &[u8]) -> u64 {
    let sum =
        input.iter().fold(FNV_OFFSET, |it, byte| (it ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    mix(sum)
}

/// Combines two hashes; the order matters.
///
/// ```
/// # use curranthook_policy::hash;
/// assert_ne!(hash::pair(1, 2), hash::pair(2, 1));
/// ```
pub fn pair(first: u64, second: u64) -> u64 {
    mix(first ^ mix(second))
}

/// Maps a hash to a number from 0 up to, but not including, 1.
///
/// ```
/// # use curranthook_policy::hash;
/// assert!(hash::unit(u64::MAX) < 1.0);
/// ```
pub fn unit(hash: u64) -> f64 {
    const BITS: u32 = 53;
    (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}

/// The finaliser of SplitMix64.
fn mix(value: u64) -> u64 {
    let mut it = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    it ^ (it >> 31)
}
