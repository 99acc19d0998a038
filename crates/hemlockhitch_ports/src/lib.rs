//! Traits and HTTP clients for the services of the platform.
//!
//! Each service has one narrow trait, so that supporting another protocol requires
//! only another implementation of the trait.
//!
//! ```no_run
//! use hemlockhitch_ports::key_value::{HttpKeyValue, KeyValue, KeyValueError};
//!
//! async fn read_generation() -> Result<Option<String>, KeyValueError> {
//!     let store = HttpKeyValue::new("10.0.0.5:7000").timeout_ms(500);
//!     let entry = store.get("configuration/generation").await?;
//!     Ok(entry.map(|entry| entry.value))
//! }
//! ```

mod calls;
mod service_client;

pub mod key_value;
pub mod rating;
pub mod vm_list;
pub mod weights;

pub use calls::{CallKind, StoreCallCounts, StoreCalls};
