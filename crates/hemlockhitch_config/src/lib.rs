//! Settings, the operators' sheet and the configuration with its generations.
//!
//! A [`Configuration`] is a set of rows. Operators edit it by [`Change`]s, which
//! are numbered by generation. The request path reads a [`RoutingTable`], which
//! is compiled from a configuration once for each generation.

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
pub use store::{ConfigStore, Submission};
pub use table::RoutingTable;
