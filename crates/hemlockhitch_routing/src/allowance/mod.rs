//! A node's part of what all nodes together may do.

mod cold;
mod pace;
mod repeats;

pub use cold::ColdRate;
pub use pace::Pace;
pub use repeats::{RepeatSettings, Repeats};
