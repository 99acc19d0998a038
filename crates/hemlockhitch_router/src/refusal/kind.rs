//! Refusal kinds with their codes and HTTP statuses.

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The caller's token is missing or unknown.
    Unauthenticated,
    /// The request or one of its headers is malformed.
    BadRequest,
    /// The request exceeds the size limit.
    TooLarge,
    /// The organisation may not use the model, version or service.
    NotAllowed,
    /// The model, version or service does not exist.
    NotFound,
    /// The session's version was withdrawn.
    Withdrawn,
    /// A rate, concurrency or queue limit was reached, or all endpoints are full.
    Overloaded,
    /// No endpoint currently accepts the request.
    NoEndpoint,
    /// The node accepts no new requests.
    NotServing,
    /// A non-idempotent call has no idempotency key.
    KeyRequired,
    /// The idempotency key was used for a different call.
    KeyMismatch,
    /// Another attempt with the same idempotency key has not ended.
    InProgress,
    /// It cannot be determined whether the non-idempotent call ran.
    OutcomeUnknown,
    /// The ledger cannot record the claim.
    LedgerUnavailable,
    /// Endpoints failed while they ran the request.
    EndpointFailed,
    /// The request has crashed several endpoints.
    CrashesEndpoints,
    /// The answer exceeded its time limit.
    TimedOut,
}

impl RefusalKind {
    /// Returns the stable, machine-readable code.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::NotAllowed => "not_allowed",
            Self::NotFound => "not_found",
            Self::Withdrawn => "version_withdrawn",
            Self::Overloaded => "overloaded",
            Self::NoEndpoint => "no_endpoint",
            Self::NotServing => "not_serving",
            Self::KeyRequired => "idempotency_key_required",
            Self::KeyMismatch => "idempotency_key_mismatch",
            Self::InProgress => "in_progress",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::LedgerUnavailable => "ledger_unavailable",
            Self::EndpointFailed => "endpoint_failed",
            Self::CrashesEndpoints => "crashes_endpoints",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns the HTTP status code.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyRequired => 400,
            Self::Unauthenticated => 401,
            Self::NotAllowed => 403,
            Self::NotFound => 404,
            Self::InProgress | Self::OutcomeUnknown => 409,
            Self::Withdrawn => 410,
            Self::TooLarge => 413,
            Self::KeyMismatch | Self::CrashesEndpoints => 422,
            Self::Overloaded => 429,
            Self::EndpointFailed => 502,
            Self::NoEndpoint | Self::NotServing | Self::LedgerUnavailable => 503,
            Self::TimedOut => 504,
        }
    }
}
