//! Calls whose responses take longer than their timeout to arrive.
//!
//! A timeout is made for a peer that is silent. The time that a response takes depends on
//! its size and the link, so a call is continued beyond its timeout while bytes arrive. Made
//! for configurations of up to a megabyte on links of 10 Mbit/s.

use std::time::Duration;

use tokio::time::timeout;

/// Interval in which bytes must arrive once the timeout has passed.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(300);

/// Bytes that must arrive in each interval: a tenth of what a link of 10 Mbit/s carries. A
/// peer that sends less delivers a megabyte too late.
const MIN_PROGRESS_BYTES: u64 = 36 * 1_024;

/// Decides whether a call is continued beyond its timeout.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    received_bytes: u64,
}

impl Arrival {
    /// Returns whether enough bytes have arrived since the last call of this function.
    /// `received_bytes` is the number of bytes received so far.
    pub fn is_advancing(&mut self, received_bytes: u64) -> bool {
        let arrived = received_bytes.saturating_sub(self.received_bytes);
        self.received_bytes = received_bytes;
        arrived >= MIN_PROGRESS_BYTES
    }
}

/// Waits for a call until `call_timeout`, and beyond it while its response arrives; `None` if
/// the call is given up. `received_bytes` returns the bytes of the response so far.
pub async fn wait_while_arriving<T>(
    call: impl Future<Output = T>,
    call_timeout: Duration,
    received_bytes: impl Fn() -> u64,
) -> Option<T> {
    tokio::pin!(call);
    let mut arrival = Arrival::default();
    let mut wait = call_timeout;
    loop {
        if let Ok(response) = timeout(wait, call.as_mut()).await {
            return Some(response);
        }
        if !arrival.is_advancing(received_bytes()) {
            return None;
        }
        wait = PROGRESS_INTERVAL;
    }
}
