//! A node's share of limits that apply to all nodes together.

mod brittleness;
mod byte_budget;
mod cold_rate;
mod memory_budget;
mod named_rate;
mod node_shares;
mod pause;
mod progress;
mod rate_limiter;
mod requested_rate;
mod retry_budget;
mod slot_queue;
mod statements;

pub use brittleness::Brittleness;
pub use byte_budget::ByteBudget;
pub use cold_rate::ColdRate;
pub use memory_budget::{Claim, FIRST_STEP_BYTES, HeldBytes, MemoryBudget, REQUEST_BYTES};
pub use named_rate::NamedRate;
pub use node_shares::{NodeShares, SlotShares};
pub use pause::{PauseSettings, RequestedPause};
pub use progress::{MIN_PROGRESS_BYTES, Progress, STALL_WAIT_MS};
pub use rate_limiter::RateLimiter;
pub use requested_rate::RequestedRate;
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use slot_queue::SlotQueue;
pub use statements::{Stated, Statement, Statements};
