//! The request path: admit, decide, claim, dispatch, relay and bill.
//!
//! [`Router::chat`] serves a chat completion and [`Router::call`] a call of a
//! plain service. Both return a typed [`Refusal`] that says truly whether the
//! request ran.

mod admission;
mod backend;
mod billing;
mod call;
mod caller;
mod chat;
mod explain;
mod in_flight;
mod place;
mod refusal;
mod roll_out;
mod router;
mod session;
mod settings;
mod suspect;
mod view;

pub use backend::{AlwaysOpen, Backend, Closed, Gate};
pub use call::ServiceCallRequest;
pub use caller::{Caller, CallerHeaders};
pub use chat::{ChatAnswer, ChatCall, Relay};
pub use explain::{Explanation, Explanations, Step};
pub use in_flight::{InFlight, InFlightGuard};
pub use refusal::{Refusal, RefusalBody, RefusalKind};
pub use roll_out::{RollOuts, StoppedVersion};
pub use router::{Router, RouterParts};
pub use session::{Session, SessionError, SessionKey};
pub use settings::RouterSettings;
pub use suspect::{Fingerprint, LocalSuspects, MAX_CRASHES, SUSPICION_MS, Suspects};
pub use view::{EndpointState, View, ViewFeed};
