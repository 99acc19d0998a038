//! Traits and clients for the platform's services.
//!
//! Each service stands behind one narrow trait, so that another protocol is a
//! new client and nothing more.
//!
//! ```no_run
//! use hemlockhitch_ports::key_value::{HttpKeyValue, KeyValue, KeyValueError};
//!
//! async fn read_generation() -> Result<Option<String>, KeyValueError> {
//!     let store = HttpKeyValue::new("10.0.0.5:7000").limit_ms(500);
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
