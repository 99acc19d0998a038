//! What a platform's translation offers to the gateway.

mod metadata;

pub use metadata::{AnswerTerms, SendTerms, Terms};

use std::fmt::Debug;

use hemlockhitch_model::{DataCentreName, EndpointName, ServiceName};
use hemlockhitch_routing::catalogue::Catalogue;
use hemlockhitch_routing::fleet::EndpointEntry;
use hemlockhitch_routing::roll_out::{Order, Stage};
use http::{HeaderMap, StatusCode};
use thiserror::Error;

/// Translates between a platform's wire and the gateway's types.
///
/// It decides nothing and keeps nothing.
pub trait Dialect: Clone + Debug + Send + Sync + 'static {
    /// Reads what a caller's headers say.
    fn terms(&self, headers: &HeaderMap) -> Terms;

    /// Writes the headers of a request to an endpoint: those of the caller that are
    /// passed on, and the system's own.
    fn request_headers(&self, caller: &HeaderMap, send: &SendTerms<'_>) -> HeaderMap;

    /// Reads what an endpoint's answer says.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerTerms;

    /// Tells what a key of the store is about.
    fn subject(&self, key: &str) -> Subject;

    /// Reads a stored value.
    ///
    /// # Errors
    ///
    /// Fails when the value is damaged or was written by another program.
    fn change(&self, subject: &Subject, value: &str) -> Result<Change, UnreadableValue>;

    /// Writes the state of a roll-out for the operator, as key and value.
    fn roll_out_status(
        &self,
        service: &ServiceName,
        order: &Order,
        stage: Stage,
    ) -> (String, String);

    /// Returns the path at which an endpoint reports what it runs.
    fn report_path(&self) -> &'static str;

    /// Reads from such a report how many requests run or wait.
    fn report_requests(&self, body: &[u8]) -> Option<u32>;
}

/// What a key of the store is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// The configuration.
    Catalogue,
    /// An endpoint.
    Endpoint(EndpointName),
    /// An order to roll out a version of a service.
    RollOut(ServiceName),
    /// The state of a roll-out that the nodes tell the operator.
    RollOutStatus(ServiceName),
    /// The evacuation of a data centre.
    Evacuation(DataCentreName),
    /// Something else.
    Other,
}

/// What a stored value says.
#[derive(Clone, Debug)]
pub enum Change {
    /// The configuration in full.
    Catalogue(Box<Catalogue>),
    /// What an endpoint says of itself.
    Endpoint(EndpointEntry),
    /// An order to roll out.
    RollOut(Order),
    /// The state that the nodes told the operator, with the version that it is of.
    RollOutStatus(String, Stage),
    /// A data centre is to get no new work.
    Evacuation,
}

/// A stored value that cannot be read.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{detail}; find out which program wrote the key")]
pub struct UnreadableValue {
    /// What is wrong with it.
    pub detail: String,
}

impl From<serde_json::Error> for UnreadableValue {
    fn from(error: serde_json::Error) -> Self {
        Self {
            detail: error.to_string(),
        }
    }
}
