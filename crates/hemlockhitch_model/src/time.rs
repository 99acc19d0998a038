//! Timestamps and the clocks that produce them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A point in time, on the monotonic clock of the process and on the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Now {
    /// Milliseconds since the clock was created; never decreases.
    pub mono_ms: u64,
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// A source of the current time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current time.
    fn now(&self) -> Now;
}

/// The system clock. Its monotonic time may stop while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Now {
        Now {
            mono_ms: saturating_ms(self.start.elapsed().as_millis()),
            unix_ms: unix_ms(),
        }
    }
}

/// The system clock with a monotonic time that includes the time the machine was
/// suspended.
///
/// A node uses it to detect after a suspend that its cached state is stale.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start_ms: u64,
}

impl BootClock {
    /// Creates a clock whose monotonic time starts at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start_ms: boot_ms(),
        }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Now {
        Now {
            mono_ms: boot_ms().saturating_sub(self.start_ms),
            unix_ms: unix_ms(),
        }
    }
}

fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds_ms = u64::try_from(time.tv_sec)
        .unwrap_or_default()
        .saturating_mul(1_000);
    seconds_ms + u64::try_from(time.tv_nsec).unwrap_or_default() / 1_000_000
}

/// A clock for tests that advances only on request.
#[derive(Clone, Debug, Default)]
pub struct ManualClock {
    elapsed_ms: Arc<AtomicU64>,
}

impl ManualClock {
    const START_UNIX_MS: u64 = 1_700_000_000_000;

    /// Creates a clock at monotonic time zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Advances the clock by `elapsed_ms` milliseconds.
    pub fn advance(&self, elapsed_ms: u64) {
        self.elapsed_ms.fetch_add(elapsed_ms, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Now {
        let mono_ms = self.elapsed_ms.load(Ordering::SeqCst);
        Now {
            mono_ms,
            unix_ms: Self::START_UNIX_MS + mono_ms,
        }
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    saturating_ms(since_epoch.as_millis())
}

fn saturating_ms(ms: u128) -> u64 {
    u64::try_from(ms).unwrap_or(u64::MAX)
}
