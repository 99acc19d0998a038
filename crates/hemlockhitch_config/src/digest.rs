//! Hexadecimal representation of SHA-256 digests.

/// Length of a SHA-256 digest, in hexadecimal digits.
const HEX_DIGITS: usize = 64;

/// Returns whether the text is a SHA-256 digest in lower-case hexadecimal.
pub(crate) fn is_sha256_hex(text: &str) -> bool {
    text.len() == HEX_DIGITS && text.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'))
}
