//! Request handling: admission, routing, claims, dispatch, streaming and billing.
//!
//! [`Router::chat`] serves a chat completion and [`Router::call`] a call to a
//! plain service. On failure both return a typed [`Refusal`], which states
//! whether the request may have run.

mod admission;
mod backend;
mod billing;
mod call;
mod caller;
mod chat;
mod crash_tracker;
mod endpoint_slot;
mod explanation;
mod in_flight;
mod refusal;
mod roll_out;
mod router;
mod session;
mod settings;
mod view;

pub use backend::{AlwaysServing, Backend, NotServingReason, ServingCheck};
pub use call::ServiceCallRequest;
pub use caller::{Caller, CallerHeaders};
pub use chat::{ChatAnswer, ChatCall, Relay, TrustedCall};
pub use crash_tracker::{
    CRASH_RECORD_TTL_MS, CrashTracker, LocalCrashTracker, MAX_CRASHES_PER_REQUEST,
    RequestFingerprint,
};
pub use explanation::{DispatchRecord, Explanation, Explanations};
pub use in_flight::{InFlight, InFlightGuard};
pub use refusal::{Refusal, RefusalBody, RefusalKind};
pub use roll_out::{RollOuts, StoppedVersion};
pub use router::{Router, RouterParts};
pub use session::{Session, SessionError, SessionKey};
pub use settings::RouterSettings;
pub use view::{EndpointState, RoutingView, RoutingViewPublisher};
