//! Node settings, operator sheets and the versioned configuration.
//!
//! A [`Configuration`] is a set of rows. Operators modify it through [`Change`]s;
//! each accepted change creates the next generation. The request path reads a
//! [`RoutingTable`], which is compiled once per generation.

pub mod admin;
pub mod change;
pub mod configuration;
mod digest;
pub mod settings;
pub mod sheet;
pub mod store;
pub mod table;
pub mod validation;

pub use change::{Change, NumberedChange, RowEdit};
pub use configuration::{Configuration, Row, RowKey, RowKind, VersionedRow};
pub use settings::Settings;
pub use sheet::Sheet;
pub use store::{ConfigStore, SubmitOutcome};
pub use table::RoutingTable;
