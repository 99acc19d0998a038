//! Stable hashes: the result is the same on every node and in every release.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hashes text to 64 uniformly distributed bits.
pub(crate) fn hash_text(text: &str) -> u64 {
    let hash = text.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    finalise(hash)
}

/// Combines two hashes into a uniformly distributed one.
pub(crate) fn combine(left: u64, right: u64) -> u64 {
    finalise(left ^ finalise(right))
}

/// Mixes the bits of a number with the finaliser of SplitMix64.
fn finalise(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Returns the candidate with the highest weight for `key` (rendezvous hashing).
pub(crate) fn rendezvous<T: Copy>(
    key: u64,
    candidates: impl IntoIterator<Item = T>,
    id: impl Fn(T) -> u64,
) -> Option<T> {
    candidates
        .into_iter()
        .max_by_key(|candidate| combine(key, id(*candidate)))
}
