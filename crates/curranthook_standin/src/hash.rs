//! A hash that is the same in every process and build, so that answers are predictable.

/// Hashes `parts` in order.
///
/// ```
/// use curranthook_standin::hash;
/// assert_eq!(hash::of(&["a", "b"]), hash::of(&["a", "b"]));
/// assert_ne!(hash::of(&["ab", ""]), hash::of(&["a", "b"]));
/// ```
pub fn of(parts: &[&str]) -> u64 {
    // FNV-1a, with a terminator hashed after each part and a finalizer that spreads the
    // hashes of short texts over the whole range.
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    const END_OF_PART: u8 = 0xff;
    let mut hash = OFFSET;
    for part in parts {
        for byte in part.bytes().chain([END_OF_PART]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }
    finish(hash)
}

/// The hash of `parts` mapped to [0, 1).
pub fn fraction(parts: &[&str]) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (of(parts) >> (u64::BITS - MANTISSA_BITS)) as f64 / (1_u64 << MANTISSA_BITS) as f64
}

fn finish(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
