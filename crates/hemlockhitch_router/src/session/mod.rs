//! Signed session tokens, which any node can verify without stored state.

use std::fmt;

use hemlockhitch_model::{OrganisationName, VersionName};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

/// HMAC key that signs session tokens.
#[derive(Clone)]
pub struct SessionKey {
    secret: Vec<u8>,
}

/// A conversation of an organisation that stays on one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The organisation that opened the session.
    pub organisation: OrganisationName,
    /// The version that serves the session.
    pub version: VersionName,
    /// When the session was opened, in milliseconds since the Unix epoch.
    pub opened_unix_ms: u64,
}

/// Why a session token is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum SessionError {
    /// The token does not have the expected format.
    #[error("the session token cannot be read; open a new session without a token")]
    Malformed,
    /// The signature does not match the key.
    #[error("the session token is not authentic; open a new session without a token")]
    NotAuthentic,
}

/// Separates the fields of a session token.
const SEPARATOR: char = '~';

impl SessionKey {
    /// Creates a key from `secret`, which must be the same on all nodes.
    #[must_use]
    pub fn new(secret: impl Into<Vec<u8>>) -> Self {
        Self {
            secret: secret.into(),
        }
    }

    /// Returns the signed token of a session.
    #[must_use]
    pub fn issue(&self, session: &Session) -> String {
        let fields = format!(
            "{}{SEPARATOR}{}{SEPARATOR}{}",
            encode_hex(session.organisation.as_str().as_bytes()),
            encode_hex(session.version.as_str().as_bytes()),
            session.opened_unix_ms,
        );
        let mac = encode_hex(&self.mac(&fields).finalize().into_bytes());
        format!("{fields}{SEPARATOR}{mac}")
    }

    /// Verifies the signature of a token and returns its session.
    ///
    /// # Errors
    ///
    /// Fails when the token is malformed or its signature does not match.
    pub fn verify(&self, token: &str) -> Result<Session, SessionError> {
        let (fields, mac) = token
            .rsplit_once(SEPARATOR)
            .ok_or(SessionError::Malformed)?;
        let mac = decode_hex(mac)?;
        self.mac(fields)
            .verify_slice(&mac)
            .map_err(|_| SessionError::NotAuthentic)?;
        parse_fields(fields)
    }

    fn mac(&self, fields: &str) -> Hmac<Sha256> {
        // HMAC accepts keys of any length, so this cannot fail.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).unwrap_or_else(|_| {
            unreachable!("HMAC accepts keys of any length");
        });
        mac.update(fields.as_bytes());
        mac
    }
}

impl fmt::Debug for SessionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SessionKey")
    }
}

fn parse_fields(fields: &str) -> Result<Session, SessionError> {
    let mut parts = fields.split(SEPARATOR);
    let mut next = || parts.next().ok_or(SessionError::Malformed);
    let organisation = decode_hex_string(next()?)?;
    let version = decode_hex_string(next()?)?;
    let opened = next()?.parse().map_err(|_| SessionError::Malformed)?;
    Ok(Session {
        organisation: OrganisationName::new(organisation),
        version: VersionName::new(version),
        opened_unix_ms: opened,
    })
}

/// Encodes bytes as lower-case hexadecimal digits.
pub(crate) fn encode_hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn decode_hex(text: &str) -> Result<Vec<u8>, SessionError> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return Err(SessionError::Malformed);
    }
    (0..text.len())
        .step_by(2)
        .map(|index| {
            u8::from_str_radix(&text[index..index + 2], 16).map_err(|_| SessionError::Malformed)
        })
        .collect()
}

fn decode_hex_string(text: &str) -> Result<String, SessionError> {
    String::from_utf8(decode_hex(text)?).map_err(|_| SessionError::Malformed)
}
