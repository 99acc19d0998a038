//! Interface between the gateway and a platform's wire format.

mod metadata;

pub use metadata::{RequestMetadata, ResponseMetadata, UpstreamMetadata};

use std::fmt::Debug;

use hemlockhitch_model::{DataCentreName, EndpointName, ServiceName};
use hemlockhitch_routing::catalogue::Catalogue;
use hemlockhitch_routing::fleet::EndpointEntry;
use hemlockhitch_routing::roll_out::{Order, Stage};
use http::{HeaderMap, StatusCode};
use thiserror::Error;

/// Translates between a platform's wire format and the gateway's types.
///
/// Implementations are stateless and make no routing decisions.
pub trait Dialect: Clone + Debug + Send + Sync + 'static {
    /// Reads the metadata in a caller's headers.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Builds the headers of a request to an endpoint: those of the caller that are
    /// forwarded, and the gateway's own.
    fn request_headers(&self, caller: &HeaderMap, upstream: &UpstreamMetadata<'_>) -> HeaderMap;

    /// Reads the metadata in an endpoint's response head.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns what a key of the store refers to.
    fn parse_key(&self, key: &str) -> Subject;

    /// Reads a stored value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is malformed or was written by another program.
    fn parse_value(&self, subject: &Subject, value: &str) -> Result<StoredValue, UnreadableValue>;

    /// Writes the status of a roll-out for the operator, as key and value.
    fn roll_out_status(
        &self,
        service: &ServiceName,
        order: &Order,
        stage: Stage,
    ) -> (String, String);

    /// Returns the path at which an endpoint reports its requests.
    fn report_path(&self) -> &'static str;

    /// Reads the number of running and waiting requests from such a report.
    fn parse_report(&self, body: &[u8]) -> Option<u32>;
}

/// What a key of the store refers to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// The configuration.
    Catalogue,
    /// An endpoint.
    Endpoint(EndpointName),
    /// An order to roll out a version of a service.
    RollOut(ServiceName),
    /// The status of a roll-out that the nodes publish to the operator.
    RollOutStatus(ServiceName),
    /// The evacuation of a data centre.
    Evacuation(DataCentreName),
    /// A key that the gateway does not use.
    Other,
}

/// The content of a stored value.
#[derive(Clone, Debug)]
pub enum StoredValue {
    /// The complete configuration.
    Catalogue(Box<Catalogue>),
    /// The entry that an endpoint publishes about itself.
    Endpoint(EndpointEntry),
    /// A roll-out order.
    RollOut(Order),
    /// A published roll-out status: the target version and its stage.
    RollOutStatus(String, Stage),
    /// A data centre gets no new requests.
    Evacuation,
}

/// A stored value that cannot be read.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{detail}; find out which program wrote the key")]
pub struct UnreadableValue {
    /// What is wrong with the value.
    pub detail: String,
}

impl From<serde_json::Error> for UnreadableValue {
    fn from(error: serde_json::Error) -> Self {
        Self {
            detail: error.to_string(),
        }
    }
}
