//! Routing decisions without I/O: load balancing, retries, rate limits, model cascades
//! and staged roll-outs.
//!
//! A routed request has any method and body; its route determines the service, which
//! requests may be executed more than once, and the timeout. Functions whose result
//! depends on the time take the current time as an argument.
//!
//! ```
//! use hemlockhitch_routing::judge::{Final, Seen, Tries, Verdict, Work, judge};
//!
//! let tries = Tries { may_have_run: false, may_repeat: true, relayed: false };
//! assert_eq!(judge(Work::Once, Seen::NotRun, tries), Verdict::Again);
//! assert_eq!(judge(Work::Once, Seen::Broken, tries), Verdict::End(Final::Unknown));
//! ```

pub mod allowance;
pub mod catalogue;
pub mod fleet;
pub mod judge;
pub mod place;
pub mod roll_out;
pub mod size;
pub mod suspect;

mod freshness;
mod sessions;

pub use freshness::Freshness;
pub use hemlockhitch_model::{hash_bytes, mix};
pub use sessions::Sessions;
