//! Holds requests back while it is not known whether a part of their prompt crashes
//! endpoints.

use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_routing::crash_tracker::Admission;
use tokio::time::{Instant, sleep};

use super::Gateway;
use super::context::{AttemptHistory, RequestContext};
use super::outcome::{RequestFailure, blocked, not_sent};
use crate::dialect::Dialect;

/// How long a request is held back before it is refused: within this time, some node has
/// usually tested a suspect that is frequent, and a caller still waits.
const MAX_HOLD: Duration = Duration::from_millis(1_000);

/// Interval at which it is checked whether the request may be sent: a fraction of the time
/// in which the result of another request is known to all nodes.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Waits until a request may be sent to an endpoint. It fails if it is blocked, and
    /// after [`MAX_HOLD`]: as not run if nothing was sent, since callers may send it again.
    pub(super) async fn wait_for_admission(
        &self,
        ctx: &RequestContext<D, C>,
        history: &mut AttemptHistory,
    ) -> Result<(), RequestFailure> {
        // The next attempt may be the test of a suspect, which it would wait for.
        if history.is_admitted {
            return if self.is_blocked(ctx) {
                Err(blocked(history))
            } else {
                Ok(())
            };
        }
        let deadline = Instant::now() + MAX_HOLD;
        loop {
            match self.node_context.admit(ctx.traits()) {
                Admission::Allowed => {
                    history.is_admitted = true;
                    return Ok(());
                }
                Admission::Wait if Instant::now() < deadline => sleep(CHECK_INTERVAL).await,
                Admission::Wait => return Err(not_sent(ctx.route.kind, history)),
                Admission::Blocked => return Err(blocked(history)),
            }
        }
    }
}
