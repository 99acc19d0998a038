//! Decisions on routed requests, without I/O.
//!
//! A routed request has any method and body; its route names the service, what
//! may be repeated and how long it may take. Every function that decides takes
//! the present time as an argument.
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
