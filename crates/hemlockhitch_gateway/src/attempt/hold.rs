//! Holds requests back while it is not known whether a part of their prompt crashes
//! endpoints.

use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_routing::crash_tracker::Admission;
use tokio::time::{Instant, sleep};

use super::Gateway;
use super::context::{AttemptHistory, RequestContext};
use crate::dialect::Dialect;

/// How long a request is held back before it is refused: within this time, some node has
/// usually tested a suspect that is frequent, and a caller still waits.
const MAX_HOLD: Duration = Duration::from_millis(1_000);

/// Interval at which it is checked whether the request may be sent: a fraction of the time
/// in which the result of another request is known to all nodes.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Waits until a request may be sent to an endpoint; returns whether it may, or is
    /// blocked.
    pub(super) async fn is_admitted(
        &self,
        ctx: &RequestContext<D, C>,
        history: &mut AttemptHistory,
    ) -> bool {
        // The next attempt may be the test of a suspect, which it would wait for.
        if history.is_admitted {
            return !self.is_blocked(ctx);
        }
        let deadline = Instant::now() + MAX_HOLD;
        loop {
            match self.node_context.admit(ctx.traits()) {
                Admission::Allowed => {
                    history.is_admitted = true;
                    return true;
                }
                Admission::Wait if Instant::now() < deadline => sleep(CHECK_INTERVAL).await,
                Admission::Wait | Admission::Blocked => return false,
            }
        }
    }
}
