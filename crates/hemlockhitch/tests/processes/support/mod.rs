//! Starts and controls the processes of a deployment.

mod fleet;
mod process;
mod rows;
mod wait;

pub use fleet::{Fleet, FleetSize};
pub use rows::{CALLER_TOKEN, data_centre};
pub use wait::{wait_for, wait_until};
