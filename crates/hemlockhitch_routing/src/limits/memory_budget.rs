//! The memory that a node may hold for requests and answers.
//!
//! Made for peers that are slow in large numbers: callers that do not read their answers,
//! and endpoints that do not read uploads. Each makes the node hold megabytes, and a node
//! has 112 to 512 MB.

use std::collections::HashMap;

/// Memory that each request takes at least, in bytes: its head, a small body and answer,
/// and the buffers of its two connections.
pub const REQUEST_BYTES: u64 = 32 * 1_024;

/// What is reserved for something of unknown length at first, in bytes; a body or an answer
/// up to this size is part of [`REQUEST_BYTES`].
pub const FIRST_STEP_BYTES: u64 = 16 * 1_024;

/// Part of the budget that large bodies and answers may take together; the rest is left to
/// small requests, so that these go on.
const LARGE_PERCENT: u64 = 75;

/// Part of the budget that answers and streams may take together. Their callers may leave
/// them unread.
const ANSWERS_PERCENT: u64 = 50;

/// Part of the budget that answers and streams to callers of one organisation may take.
const ORGANISATION_PERCENT: u64 = 25;

/// Part of the budget that answers and streams may take, those that had to be delivered
/// without room included, before further requests for large answers are refused; and the
/// same for callers of one organisation.
const READERS_PERCENT: u64 = 60;
const ORGANISATION_READERS_PERCENT: u64 = 50;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Claim {
    /// A request in flight.
    Request,
    /// The body of a request, beyond the part that every request has.
    Body,
    /// An answer that is held as a whole, to a caller of the organisation with this hash.
    Answer(u64),
    /// Parts of a stream or of a relayed answer that wait for the caller.
    Stream(u64),
}

impl Claim {
    /// Returns the organisation whose callers may leave the bytes unread.
    fn organisation(self) -> Option<u64> {
        match self {
            Self::Request | Self::Body => None,
            Self::Answer(organisation) | Self::Stream(organisation) => Some(organisation),
        }
    }
}

/// Bytes held by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldBytes {
    /// Held for requests in flight, whatever their size.
    pub requests: u64,
    /// Held for bodies of requests.
    pub bodies: u64,
    /// Held for whole answers.
    pub answers: u64,
    /// Held for streams and relayed answers.
    pub streams: u64,
}

impl HeldBytes {
    /// Returns the sum.
    #[must_use]
    pub fn total(self) -> u64 {
        self.requests + self.bodies + self.answers + self.streams
    }

    fn of(&mut self, claim: Claim) -> &mut u64 {
        match claim {
            Claim::Request => &mut self.requests,
            Claim::Body => &mut self.bodies,
            Claim::Answer(_) => &mut self.answers,
            Claim::Stream(_) => &mut self.streams,
        }
    }
}

/// A budget of bytes, and what is reserved of it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// `None` if there is no limit.
    limit_bytes: Option<u64>,
    held: HeldBytes,
    by_organisation: HashMap<u64, u64>,
    /// Size of recent large answers by route.
    answer_bytes: HashMap<u64, u64>,
}

impl MemoryBudget {
    /// Creates a budget; `None` sets no limit.
    #[must_use]
    pub fn new(limit_bytes: Option<u64>) -> Self {
        Self {
            limit_bytes,
            held: HeldBytes::default(),
            by_organisation: HashMap::new(),
            answer_bytes: HashMap::new(),
        }
    }

    /// Reserves bytes; returns whether they fit. What does not fit is not reserved.
    pub fn reserve(&mut self, claim: Claim, bytes: u64) -> bool {
        let fits = self.fits(claim, bytes);
        if fits {
            self.charge(claim, bytes);
        }
        fits
    }

    /// Reserves bytes whether or not they fit: for an answer that an endpoint has produced
    /// and that must be delivered.
    pub fn charge(&mut self, claim: Claim, bytes: u64) {
        *self.held.of(claim) += bytes;
        if let Some(organisation) = claim.organisation() {
            *self.by_organisation.entry(organisation).or_default() += bytes;
        }
    }

    /// Records the size of an answer to a request of the route with this hash.
    pub fn record_answer(&mut self, route: u64, bytes: u64) {
        let known = self.answer_bytes.get(&route).copied().unwrap_or(0);
        let expected = bytes.max(known / 2);
        if expected > FIRST_STEP_BYTES {
            self.answer_bytes.insert(route, expected);
        } else {
            self.answer_bytes.remove(&route);
        }
    }

    /// Returns whether a request may be sent to an endpoint: not if answers of its route
    /// have lately been large, and too much is held for answers that callers leave unread.
    #[must_use]
    pub fn admits(&self, route: u64, organisation: u64) -> bool {
        let Some(limit_bytes) = self.limit_bytes else {
            return true;
        };
        let part = |percent: u64| limit_bytes / 4 * percent / 25;
        let own = self.by_organisation.get(&organisation);
        let own = own.copied().unwrap_or(0);
        !self.answer_bytes.contains_key(&route)
            || (self.held.answers + self.held.streams < part(READERS_PERCENT)
                && own < part(ORGANISATION_READERS_PERCENT))
    }

    /// Releases bytes that were reserved for the same claim.
    pub fn release(&mut self, claim: Claim, bytes: u64) {
        let held = self.held.of(claim);
        *held = held.saturating_sub(bytes);
        let Some(organisation) = claim.organisation() else {
            return;
        };
        if let Some(held) = self.by_organisation.get_mut(&organisation) {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                self.by_organisation.remove(&organisation);
            }
        }
    }

    /// Returns what is reserved.
    #[must_use]
    pub fn held(&self) -> HeldBytes {
        self.held
    }

    fn fits(&self, claim: Claim, bytes: u64) -> bool {
        let Some(limit_bytes) = self.limit_bytes else {
            return true;
        };
        let part = |percent: u64| limit_bytes / 4 * percent / 25;
        let is_within = |held: u64, max: u64| held.saturating_add(bytes) <= max;
        if !is_within(self.held.total(), limit_bytes) {
            return false;
        }
        if claim == Claim::Request {
            return true;
        }
        let held = self.held;
        let answers = held.answers + held.streams;
        if !is_within(held.bodies + answers, part(LARGE_PERCENT)) {
            return false;
        }
        let Some(organisation) = claim.organisation() else {
            return true;
        };
        let own = self.by_organisation.get(&organisation);
        is_within(answers, part(ANSWERS_PERCENT))
            && is_within(own.copied().unwrap_or(0), part(ORGANISATION_PERCENT))
    }
}
