//! Shared domain types: keys, arenas, names, units and time.
//!
//! Every other package of the workspace depends on this one, so it contains only
//! plain data types and clocks and performs no I/O.
//!
//! ```
//! use hemlockhitch_model::{Arena, EndpointKey};
//!
//! let mut endpoints: Arena<EndpointKey, &str> = Arena::new();
//! let key = endpoints.push("e-1");
//! assert_eq!(endpoints[key], "e-1");
//! ```

mod arena;
mod backoff;
mod class;
mod hash;
mod id;
mod name;
mod position;
mod time;

pub use arena::{Arena, Key};
pub use arena::{
    DataCentreKey, EndpointKey, ModelKey, OrganisationKey, RouteKey, ServiceKey, VersionKey,
};
pub use backoff::Backoff;
pub use class::{Class, ParseClassError};
pub use hash::{hash_bytes, mix};
pub use id::{ChangeId, ParseIdError, RequestId};
pub use name::{
    DataCentreName, EndpointName, ModelName, NodeName, OrganisationName, RegionName, ServiceName,
    VersionName,
};
pub use position::StorePosition;
pub use time::{BootClock, Clock, ManualClock, Now, SystemClock};
