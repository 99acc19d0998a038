//! Who sends a request and how.

use hemlockhitch_config::RoutingTable;
use hemlockhitch_model::{Class, OrganisationKey, RequestId};
use sha2::{Digest, Sha256};

use crate::refusal::{Refusal, RefusalKind};
use crate::session::hex;

/// The headers of a request that the router reads, as text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// `Authorization`.
    pub authorization: Option<String>,
    /// `X-Hemlockhitch-Class`.
    pub class: Option<String>,
    /// `X-Hemlockhitch-Session`.
    pub session: Option<String>,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
}

/// An authenticated caller and its request's properties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The request's id, drawn by the router.
    pub request_id: RequestId,
    /// The organisation.
    pub organisation: OrganisationKey,
    /// The class, if the caller names one.
    pub class: Option<Class>,
    /// The session token, if the caller has one.
    pub session: Option<String>,
    /// The idempotency key, if the caller sends one.
    pub idempotency_key: Option<String>,
}

/// The longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

impl Caller {
    /// Authenticates a caller by its headers.
    ///
    /// # Errors
    ///
    /// Fails when the token is missing or unknown, or a header is malformed.
    pub fn authenticate(headers: CallerHeaders, table: &RoutingTable) -> Result<Self, Refusal> {
        let token = headers
            .authorization
            .as_deref()
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or_else(unauthenticated)?;
        let organisation = table
            .organisation_by_token(&token_digest(token))
            .ok_or_else(unauthenticated)?;
        let idempotency_key = headers.idempotency_key.map(check_key).transpose()?;
        Ok(Self {
            request_id: RequestId::random(),
            organisation,
            class: headers.class.as_deref().map(parse_class).transpose()?,
            session: headers.session,
            idempotency_key,
        })
    }
}

/// Returns the SHA-256 of a token, in hexadecimal.
fn token_digest(token: &str) -> String {
    hex(&Sha256::digest(token.as_bytes()))
}

fn unauthenticated() -> Refusal {
    Refusal::not_run(
        RefusalKind::Unauthenticated,
        "the caller's token is missing or unknown",
        "send the organisation's token as `Authorization: Bearer TOKEN`",
    )
}

fn parse_class(text: &str) -> Result<Class, Refusal> {
    text.parse().map_err(|_| {
        Refusal::not_run(
            RefusalKind::BadRequest,
            "the header X-Hemlockhitch-Class does not name a class",
            "use one of till, chat, lookup, summary, overnight",
        )
    })
}

fn check_key(key: String) -> Result<String, Refusal> {
    if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES {
        return Ok(key);
    }
    Err(Refusal::not_run(
        RefusalKind::BadRequest,
        "the header Idempotency-Key is empty or too long",
        format!("use 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes"),
    ))
}
