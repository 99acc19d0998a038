//! Slots: permits to run one request at an endpoint.

mod codec;
mod cold;
mod grant;
mod grant_table;
mod held_slots;
mod local;
mod recovery;
mod remote;
mod settle;
mod shares;

pub(crate) use cold::watch_cold_notices;
pub use grant::{Grant, GrantAnswer};
pub use grant_table::GrantTable;
pub use held_slots::{HeldSlots, ReleaseOutcome, Renewal, ShareAnswer};
pub use local::{LocalSlots, SlotGuard};
pub(crate) use recovery::{list_holdings, recover_grants};
pub use remote::{PeerSlot, PeerSlots};
pub(crate) use settle::{handle_settle, renew_grants, send_releases};

use std::future::Future;

use hemlockhitch_model::{EndpointName, Now};
use hemlockhitch_policy::concurrency_limit::LimitSignal;
use thiserror::Error;

/// A request for a slot, with the limits from the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The endpoint at which the request is to run.
    pub endpoint: EndpointName,
    /// Configured concurrency limit while the endpoint is cold.
    pub cold_limit: u32,
    /// Configured concurrency limit once the endpoint is warm.
    pub warm_limit: u32,
}

/// Why no slot was granted; the request was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum SlotRefusal {
    /// The endpoint is at its concurrency limit.
    #[error("endpoint is full; choose another endpoint")]
    Full,
    /// The endpoint is cold and no owner answered; a cold endpoint needs the owner's
    /// grant.
    #[error("endpoint is cold and has no owner; choose another endpoint")]
    NoOwner,
}

/// Outcome of a finished request at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotReport {
    /// The endpoint served the request.
    Served {
        /// Milliseconds until the first token or the answer.
        first_token_ms: u64,
    },
    /// The endpoint refused the request.
    Refused,
    /// The endpoint could not be reached or ended its response early.
    Failed,
}

impl From<SlotReport> for LimitSignal {
    fn from(report: SlotReport) -> Self {
        match report {
            SlotReport::Served { first_token_ms } => Self::Served { first_token_ms },
            SlotReport::Refused => Self::Refused,
            SlotReport::Failed => Self::Failed,
        }
    }
}

/// A slot in use; dropping it releases it without a report.
pub trait Slot: Send + 'static {
    /// Releases the slot and reports the outcome of the request.
    fn finish(self, report: SlotReport, now: Now);
}

/// Grants slots.
pub trait Slots: Clone + Send + Sync + 'static {
    /// The type of a granted slot.
    type Slot: Slot;

    /// Acquires a slot of an endpoint, or returns why there is none; never waits for
    /// a slot to be released.
    fn acquire(
        &self,
        request: SlotRequest,
        now: Now,
    ) -> impl Future<Output = Result<Self::Slot, SlotRefusal>> + Send;
}
