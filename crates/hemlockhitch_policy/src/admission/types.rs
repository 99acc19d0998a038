//! What admission is asked and what it answers.

use hemlockhitch_model::{Class, OrganisationName};

/// A request that asks to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The organisation's weight in fair shares.
    pub weight: u32,
    /// The most requests a second of the organisation, over all nodes.
    pub limit_per_s: u32,
    /// The class.
    pub class: Class,
    /// How long the request may wait.
    pub wait_limit_ms: u64,
}

/// Identifies a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// The answer to an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request runs now.
    Admit,
    /// The request waits; [`Released`] tells when it runs.
    Queue(Ticket),
    /// The request does not run. The answer is final.
    Refuse {
        /// When the caller should send it again.
        retry_after_ms: u64,
        /// Why it does not run.
        reason: RefusalReason,
    },
}

/// Why a request does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its organisation sends more than its limit.
    OverRate,
    /// It would wait longer than it may.
    WouldBeLate,
    /// Its organisation has too many requests waiting.
    QueueFull,
}

/// The tickets that wait no longer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Released {
    /// These run now.
    pub admitted: Vec<Ticket>,
    /// These waited longer than they may; they do not run.
    pub expired: Vec<Ticket>,
}
