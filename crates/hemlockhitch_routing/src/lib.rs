//! Routing decisions without I/O: load balancing, retries, rate limits, model cascades
//! and staged roll-outs.
//!
//! A routed request has any method and body; its route determines the service, which
//! requests may be executed more than once, and the timeout. Functions whose result
//! depends on the time take the current time as an argument.
//!
//! ```
//! use hemlockhitch_routing::retry::{AttemptSummary, Final, RouteKind, Seen, Verdict, decide_retry};
//!
//! let kind = RouteKind::NonIdempotent;
//! let summary = AttemptSummary { may_have_run: false, may_retry: true, response_started: false };
//! assert_eq!(decide_retry(kind, Seen::NotRun, summary), Verdict::Again);
//! assert_eq!(decide_retry(kind, Seen::Broken, summary), Verdict::End(Final::Unknown));
//! ```

pub mod cascade;
pub mod catalogue;
pub mod crash_tracker;
pub mod fleet;
pub mod gossip;
pub mod limits;
pub mod reach;
pub mod retry;
pub mod roll_out;
pub mod selection;
pub mod shares;
pub mod source;

mod freshness;
mod session_affinity;
mod urgency;

pub use freshness::Freshness;
pub use hemlockhitch_model::{hash_bytes, mix};
pub use session_affinity::SessionAffinity;
pub use urgency::WorkRanks;
