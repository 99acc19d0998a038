//! The text form of SHA-256 digests.

/// The number of hexadecimal digits of a digest.
const DIGITS: usize = 64;

/// Returns whether the text is a digest in lower-case hexadecimal.
pub(crate) fn is_sha256(text: &str) -> bool {
    text.len() == DIGITS && text.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'))
}
