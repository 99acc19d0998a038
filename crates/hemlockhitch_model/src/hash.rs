//! Hash functions whose results are the same on every node and in every process.

/// Hashes two numbers into one, spread evenly over 64 bits (the finaliser of
/// splitmix64).
#[must_use]
pub fn mix(a: u64, b: u64) -> u64 {
    let mut value = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes bytes with 64-bit FNV-1a.
#[must_use]
pub fn hash_bytes(bytes: impl AsRef<[u8]>) -> u64 {
    let bytes = bytes.as_ref().iter();
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
