//! Slots: the permissions to run one request at an endpoint.

mod book;
mod codec;
mod cold;
mod grant;
mod holder;
mod holdings;
mod local;
mod remote;
mod settle;
mod shares;

pub use book::GrantBook;
pub(crate) use cold::watch_cold;
pub use grant::{Grant, GrantAnswer};
pub use holder::{Ended, Holder, Renewal, ShareAnswer};
pub(crate) use holdings::{holdings, learn_holdings};
pub use local::{LocalSlots, SlotGuard};
pub use remote::{PeerSlot, PeerSlots};
pub(crate) use settle::{give_back, renew, serve_settle};

use std::future::Future;

use hemlockhitch_model::{EndpointName, Now};
use hemlockhitch_policy::bearing::SlotSign;
use thiserror::Error;

/// What a node asks of an endpoint's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The most requests that the configuration allows at once while cold.
    pub cold_limit: u32,
    /// The most requests that the configuration allows at once when warm.
    pub warm_limit: u32,
}

/// No slot can be had now; the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum SlotRefusal {
    /// The endpoint bears no more.
    #[error("endpoint is full; choose another endpoint")]
    Full,
    /// The endpoint is cold and its owner is not known.
    #[error("endpoint is cold and has no owner; choose another endpoint")]
    NoOwner,
}

/// What a finished request showed about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotReport {
    /// The endpoint served the request.
    Served {
        /// Milliseconds to the first token or answer.
        first_token_ms: u64,
    },
    /// The endpoint refused the request.
    Refused,
    /// The endpoint could not be reached or broke off.
    Failed,
}

impl From<SlotReport> for SlotSign {
    fn from(report: SlotReport) -> Self {
        match report {
            SlotReport::Served { first_token_ms } => Self::Served { first_token_ms },
            SlotReport::Refused => Self::Refused,
            SlotReport::Failed => Self::Failed,
        }
    }
}

/// A slot that is held; dropping it gives it back.
pub trait Slot: Send + 'static {
    /// Gives the slot back with what the request showed.
    fn finish(self, report: SlotReport, now: Now);
}

/// Hands out slots.
pub trait Slots: Clone + Send + Sync + 'static {
    /// The slot that is handed out.
    type Slot: Slot;

    /// Takes a slot of an endpoint, or says why there is none; never waits for
    /// one to become free.
    fn acquire(
        &self,
        request: SlotRequest,
        now: Now,
    ) -> impl Future<Output = Result<Self::Slot, SlotRefusal>> + Send;
}
