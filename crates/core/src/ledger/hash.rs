//! A hash that is the same on every host and in every build.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes the parts, each told apart from the next: FNV-1a with a final mix.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut state = FNV_OFFSET;
    for part in parts {
        for byte in part.iter().chain(&[0xff]) {
            state = (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
    mix(state)
}

const fn mix(mut state: u64) -> u64 {
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
