//! Starts fleets of processes.

mod fleet;
mod process;
mod rows;
mod wait;

pub use fleet::{Fleet, FleetPlan};
pub use rows::{CALLER_TOKEN, data_centre};
pub use wait::{eventually, until};
