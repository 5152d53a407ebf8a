//! Hashes that are stable across hosts and releases.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Separator of the parts, so that `("ab", "c")` and `("a", "bc")` hash differently.
const PART_END: u8 = 0xff;
const MANTISSA_BITS: u32 = 53;

/// Hash of several strings in order.
///
/// ```
/// use oleander_core::stable_hash::hash_parts;
///
/// assert_eq!(hash_parts(&["a", "b"]), hash_parts(&["a", "b"]));
/// assert_ne!(hash_parts(&["ab", "c"]), hash_parts(&["a", "bc"]));
/// ```
#[must_use]
pub fn hash_parts(parts: &[&str]) -> u64 {
    hash_bytes(parts.iter().map(|part| part.as_bytes()))
}

/// Hash of several byte strings in order.
#[must_use]
pub fn hash_bytes<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for &byte in part.iter().chain(&[PART_END]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    mix(hash)
}

/// Mixes every input bit into the whole word (the finalizer of splitmix64).
#[must_use]
pub const fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Maps a word to a number in `0..1`.
#[must_use]
pub fn unit_point(word: u64) -> f64 {
    (word >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}
