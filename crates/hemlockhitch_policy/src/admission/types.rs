//! Inputs and outputs of admission control.

use hemlockhitch_model::{Class, OrganisationName};

/// A request that arrives at the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Organisation that sent the request.
    pub organisation: OrganisationName,
    /// Weight of the organisation in fair queueing.
    pub weight: u32,
    /// Rate limit of the organisation over all nodes, in requests per second.
    pub limit_per_s: u32,
    /// Priority class of the request.
    pub class: Class,
    /// Maximum time that the request may be queued, in milliseconds.
    pub max_wait_ms: u64,
}

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// The admission decision for an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may run now.
    Admit,
    /// The request is queued; a later [`Released`] contains its ticket, unless it is
    /// cancelled.
    Queue(Ticket),
    /// The request does not run. The decision is final.
    Refuse {
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
        /// Why the request was refused.
        reason: RefusalReason,
    },
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The organisation exceeds its rate limit.
    RateLimited,
    /// The estimated wait exceeds the request's limit.
    WaitTooLong,
    /// The organisation has too many queued requests in the class.
    QueueFull,
}

/// Tickets of the requests that left the queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Released {
    /// Requests that may run now.
    pub admitted: Vec<Ticket>,
    /// Requests that waited too long; they do not run.
    pub expired: Vec<Ticket>,
}
