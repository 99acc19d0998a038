//! Operator tokens from the node settings.

use hemlockhitch_config::settings::{OperatorToken as TokenSettings, Permission, Settings};
use hemlockhitch_http::admin::{OperatorToken, Operators, Role};

/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// Builds the list of operators; entries whose digest is not valid SHA-256 hex are
/// skipped.
pub(super) fn from_settings(settings: &Settings) -> Operators {
    let tokens: Vec<OperatorToken> = settings
        .operators
        .iter()
        .filter_map(operator_token)
        .collect();
    Operators::new(tokens)
}

fn operator_token(settings: &TokenSettings) -> Option<OperatorToken> {
    Some(OperatorToken {
        name: settings.name.clone(),
        token_sha256: parse_sha256(&settings.sha256)?,
        role: match settings.permission {
            Permission::Read => Role::Read,
            Permission::Operate => Role::Operate,
        },
        organisation: settings.organisation.clone(),
    })
}

fn parse_sha256(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; DIGEST_BYTES];
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
