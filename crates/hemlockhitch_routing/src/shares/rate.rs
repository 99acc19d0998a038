//! Event rates with exponential decay.

use hemlockhitch_model::Now;

/// Time constant of the decay, in milliseconds. Several exchanges between nodes fit into
/// it, and an organisation that starts to send too much is limited within it.
const TIME_CONSTANT_MS: f64 = 2_000.0;

const MS_PER_S: f64 = 1_000.0;

/// Rate below which a counter is dropped, in events per second.
const NEGLIGIBLE_PER_S: f64 = 0.005;

/// The decayed rate of an event.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct DecayedRate {
    per_s: f64,
    updated_mono_ms: u64,
}

impl DecayedRate {
    pub(super) fn record(&mut self, now: Now) {
        self.per_s = self.per_s(now) + MS_PER_S / TIME_CONSTANT_MS;
        self.updated_mono_ms = now.mono_ms;
    }

    /// Returns the events per second.
    pub(super) fn per_s(&self, now: Now) -> f64 {
        let age_ms = now.mono_ms.saturating_sub(self.updated_mono_ms);
        self.per_s * (-as_f64(age_ms) / TIME_CONSTANT_MS).exp()
    }

    /// Returns the factor by which a rate is too low that was recorded from `started_mono_ms`
    /// on: the time before counts as one without events.
    pub(super) fn start_factor(started_mono_ms: u64, now: Now) -> f64 {
        let age_ms = now.mono_ms.saturating_sub(started_mono_ms).max(1);
        1.0 / (1.0 - (-as_f64(age_ms) / TIME_CONSTANT_MS).exp())
    }

    pub(super) fn is_negligible(&self, now: Now) -> bool {
        self.per_s(now) < NEGLIGIBLE_PER_S
    }
}

#[allow(clippy::cast_precision_loss)]
pub(super) fn as_f64(count: u64) -> f64 {
    count as f64
}
