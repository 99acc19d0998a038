//! Bills, one for each request that ran.

mod buffer;
mod report;

pub use buffer::{BillBuffer, BillPermit};
pub use report::{BillReport, read_totals};

pub use crate::state::BillTotal;

use hemlockhitch_model::{Class, EndpointName, OrganisationName, RequestId};
use serde::{Deserialize, Serialize};

/// The usage and cost of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Bill {
    /// The request id; a request is billed at most once.
    pub request_id: RequestId,
    /// The billed organisation.
    pub organisation: OrganisationName,
    /// The class of the request.
    pub class: Class,
    /// The model version or the name of the service that ran the request.
    pub ran_on: String,
    /// The endpoint that completed the request.
    pub endpoint: EndpointName,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Cost in millionths of the currency unit.
    pub cost_micros: u64,
    /// When the request ended, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}
