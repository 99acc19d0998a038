//! Bills: one for each request that ran.

mod buffer;
mod sums;

pub use buffer::{BillBuffer, BillSlot};
pub use sums::{BillSums, read_sums};

pub use crate::state::BillTotal;

use hemlockhitch_model::{Class, EndpointName, OrganisationName, RequestId};
use serde::{Deserialize, Serialize};

/// The bill of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bill {
    /// The request; a request is billed once.
    pub request_id: RequestId,
    /// Who pays.
    pub organisation: OrganisationName,
    /// The class of the request.
    pub class: Class,
    /// What ran: a version, or a service's name.
    pub ran_on: String,
    /// The endpoint that ended the request.
    pub endpoint: EndpointName,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Cost in millionths of the currency unit.
    pub cost_micros: u64,
    /// When the request ended, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}
