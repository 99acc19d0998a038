//! A node's part of what all nodes together may do.

mod pace;
mod repeats;

pub use pace::Pace;
pub use repeats::{RepeatSettings, Repeats};
