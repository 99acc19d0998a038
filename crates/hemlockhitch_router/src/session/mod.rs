//! Session tokens: any node can honour one without stored state.

use std::fmt;

use hemlockhitch_model::{OrganisationName, VersionName};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

/// The secret that session tokens are authenticated with.
#[derive(Clone)]
pub struct SessionKey {
    secret: Vec<u8>,
}

/// A session: an organisation's conversation on one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The organisation that opened the session.
    pub organisation: OrganisationName,
    /// The version that serves the session.
    pub version: VersionName,
    /// When it was opened, in milliseconds since the Unix epoch.
    pub opened_unix_ms: u64,
}

/// A session token is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum SessionError {
    /// The text is not a session token.
    #[error("the session token cannot be read; open a new session without a token")]
    Malformed,
    /// The token was not issued by this router.
    #[error("the session token is not authentic; open a new session without a token")]
    NotAuthentic,
}

const SEPARATOR: char = '~';

impl SessionKey {
    /// Uses `secret` as the key; all nodes must use the same one.
    #[must_use]
    pub fn new(secret: impl Into<Vec<u8>>) -> Self {
        Self {
            secret: secret.into(),
        }
    }

    /// Writes the token of a session.
    #[must_use]
    pub fn mint(&self, session: &Session) -> String {
        let fields = format!(
            "{}{SEPARATOR}{}{SEPARATOR}{}",
            hex(session.organisation.as_str().as_bytes()),
            hex(session.version.as_str().as_bytes()),
            session.opened_unix_ms,
        );
        let mac = hex(&self.mac(&fields).finalize().into_bytes());
        format!("{fields}{SEPARATOR}{mac}")
    }

    /// Reads and authenticates a token.
    ///
    /// # Errors
    ///
    /// Fails when the token is malformed or was changed.
    pub fn verify(&self, token: &str) -> Result<Session, SessionError> {
        let (fields, mac) = token
            .rsplit_once(SEPARATOR)
            .ok_or(SessionError::Malformed)?;
        let mac = from_hex(mac)?;
        self.mac(fields)
            .verify_slice(&mac)
            .map_err(|_| SessionError::NotAuthentic)?;
        read_fields(fields)
    }

    fn mac(&self, fields: &str) -> Hmac<Sha256> {
        // HMAC takes a key of any length, so this cannot fail.
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

fn read_fields(fields: &str) -> Result<Session, SessionError> {
    let mut parts = fields.split(SEPARATOR);
    let mut next = || parts.next().ok_or(SessionError::Malformed);
    let organisation = text_from_hex(next()?)?;
    let version = text_from_hex(next()?)?;
    let opened = next()?.parse().map_err(|_| SessionError::Malformed)?;
    Ok(Session {
        organisation: OrganisationName::new(organisation),
        version: VersionName::new(version),
        opened_unix_ms: opened,
    })
}

/// Writes bytes as hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn from_hex(text: &str) -> Result<Vec<u8>, SessionError> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return Err(SessionError::Malformed);
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).map_err(|_| SessionError::Malformed))
        .collect()
}

fn text_from_hex(text: &str) -> Result<String, SessionError> {
    String::from_utf8(from_hex(text)?).map_err(|_| SessionError::Malformed)
}
