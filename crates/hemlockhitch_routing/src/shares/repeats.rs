//! Refused requests that return before their time.

use std::collections::HashMap;

use hemlockhitch_model::Now;

/// Number of remembered refusals at which those that are over are dropped, and all of them
/// if that does not help.
const MAX_REMEMBERED: usize = 4_096;

/// Refused requests with the monotonic time of their return, in milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Refusals {
    until_mono_ms: HashMap<u64, u64>,
}

impl Refusals {
    /// Returns whether the request was refused and returns before its time.
    pub(super) fn is_early(&self, request_key: u64, now: Now) -> bool {
        let until = self.until_mono_ms.get(&request_key);
        until.is_some_and(|until| now.mono_ms < *until)
    }

    /// Records a refusal. An early return does not change the time.
    pub(super) fn record(&mut self, request_key: u64, retry_after_ms: u64, now: Now) {
        if self.until_mono_ms.len() >= MAX_REMEMBERED {
            self.until_mono_ms.retain(|_, until| *until > now.mono_ms);
            if self.until_mono_ms.len() >= MAX_REMEMBERED {
                self.until_mono_ms.clear();
            }
        }
        let until = self.until_mono_ms.entry(request_key).or_default();
        if *until <= now.mono_ms {
            *until = now.mono_ms + retry_after_ms;
        }
    }
}
