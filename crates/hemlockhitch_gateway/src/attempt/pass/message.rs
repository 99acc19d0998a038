//! What nodes add to a request that one passes to another, and to its response.

use http::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};

/// Time that the helper has for the request, in milliseconds.
const REMAINING_MS: HeaderName = HeaderName::from_static("x-pass-remaining-ms");

/// Number of attempts that were made before.
const ATTEMPTS: HeaderName = HeaderName::from_static("x-pass-attempts");

/// Index into the route's model sizes for the next attempt.
const MODEL_SIZE: HeaderName = HeaderName::from_static("x-pass-model-size");

/// Version of the configuration that the passing node knows.
const CONFIGURATION_VERSION: HeaderName = HeaderName::from_static("x-pass-configuration-version");

/// Id of the last event that the caller has.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("x-pass-last-event-id");

/// Number that the passing node gives the sending; the response repeats it, so that a
/// surplus response on the connection is not taken for the one to a later request. Builds
/// before it neither send nor repeat it.
pub(super) const PASS_ID: HeaderName = HeaderName::from_static("x-pass-id");

/// Set in a response if the request was sent to no endpoint, so that another helper may
/// take it.
pub(super) const NOT_TAKEN: HeaderName = HeaderName::from_static("x-pass-not-taken");

/// Hashes of the endpoint instances that the helper knows to be leaving, in hexadecimal and
/// separated by commas.
pub(super) const LEAVING: HeaderName = HeaderName::from_static("x-pass-leaving");

/// What is left of a request that another node passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) struct PassedRequest {
    /// Time left for the request, in milliseconds.
    pub(in super::super) remaining_ms: u64,
    /// Number of attempts that were made before.
    pub(in super::super) attempts: u32,
    /// Index into the route's model sizes for the next attempt.
    pub(in super::super) model_size: usize,
    /// Version of the configuration that the passing node knows.
    pub(super) configuration_version: u64,
    /// Id of the last event that the caller has.
    pub(in super::super) last_event_id: Option<u64>,
    /// Number that the response repeats.
    pub(super) pass_id: Option<u64>,
}

impl PassedRequest {
    /// Removes and returns what the headers of a passed request state.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        Some(Self {
            remaining_ms: take_number(headers, &REMAINING_MS)?,
            attempts: u32::try_from(take_number(headers, &ATTEMPTS)?).ok()?,
            model_size: usize::try_from(take_number(headers, &MODEL_SIZE)?).ok()?,
            configuration_version: take_number(headers, &CONFIGURATION_VERSION)?,
            last_event_id: take_number(headers, &LAST_EVENT_ID),
            pass_id: take_number(headers, &PASS_ID),
        })
    }

    pub(super) fn write(self, headers: &mut HeaderMap) {
        headers.insert(REMAINING_MS, HeaderValue::from(self.remaining_ms));
        headers.insert(ATTEMPTS, HeaderValue::from(self.attempts));
        headers.insert(MODEL_SIZE, HeaderValue::from(self.model_size));
        let version = HeaderValue::from(self.configuration_version);
        headers.insert(CONFIGURATION_VERSION, version);
        headers.remove(LAST_EVENT_ID);
        if let Some(last_event_id) = self.last_event_id {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(last_event_id));
        }
        headers.remove(PASS_ID);
        if let Some(pass_id) = self.pass_id {
            headers.insert(PASS_ID, HeaderValue::from(pass_id));
            // Makes builds that do not know the header remove it before an endpoint sees it.
            headers.insert(CONNECTION, HeaderValue::from_name(PASS_ID));
        }
    }
}

pub(super) fn take_number(headers: &mut HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}
