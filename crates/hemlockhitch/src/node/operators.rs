//! The operators that the settings name.

use hemlockhitch_config::settings::{OperatorToken as TokenSettings, Permission, Settings};
use hemlockhitch_http::admin::{OperatorToken, Operators, Role};

/// Bytes of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// Returns the operators; a digest that is not SHA-256 matches no token.
pub(super) fn from_settings(settings: &Settings) -> Operators {
    let tokens: Vec<OperatorToken> = settings.operators.iter().filter_map(token).collect();
    Operators::new(tokens)
}

fn token(settings: &TokenSettings) -> Option<OperatorToken> {
    Some(OperatorToken {
        name: settings.name.clone(),
        token_sha256: digest(&settings.sha256)?,
        role: match settings.permission {
            Permission::Read => Role::Read,
            Permission::Operate => Role::Operate,
        },
        organisation: settings.organisation.clone(),
    })
}

fn digest(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; DIGEST_BYTES];
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
