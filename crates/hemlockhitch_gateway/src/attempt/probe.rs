//! Reads an endpoint's work time before a request is sent to it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::{Clock, EndpointKey};
use hemlockhitch_routing::selection::is_probe_worthwhile;
use http::{Request, Uri};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use super::Gateway;
use super::context::{AttemptHistory, RequestContext};
use super::slot;
use crate::connection::Remote;
use crate::dialect::Dialect;
use crate::telemetry;

/// Timeout of a probe: what it may delay a request by at most. Endpoints answer on the
/// health path at once, so that a slower one has more wrong with it than slow work.
const PROBE_TIMEOUT: Duration = Duration::from_millis(25);

/// Maximum number of probes before an attempt. After two slow
/// endpoints, the request goes to the best one known.
const MAX_PROBES: usize = 2;

/// Hash in place of that of a request's id, which a probe does not have.
const NO_REQUEST_HASH: u64 = 0;

/// Maximum size of a response on a health path, in bytes.
const MAX_RESPONSE_BYTES: usize = 4_096;

/// An endpoint that is to be probed.
struct Target {
    endpoint: EndpointKey,
    address: SocketAddr,
    path: Uri,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Reads the work time of the endpoint that a request would be sent to, if what it
    /// probably saves is worth the price, and of the one that is chosen then.
    pub(super) async fn probe_work_time(
        &self,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
    ) {
        for _ in 0..MAX_PROBES {
            let Some(target) = self.probe_target(ctx, history) else {
                return;
            };
            telemetry::count_work_time_probe();
            let is_answered = timeout(PROBE_TIMEOUT, self.probe(target)).await;
            if is_answered != Ok(Some(())) {
                return;
            }
        }
    }

    fn probe_target(&self, ctx: &RequestContext<D, C>, history: &AttemptHistory) -> Option<Target> {
        let probes_per_s = self.node_context.settings().probes_per_s;
        if probes_per_s <= 0.0 {
            return None;
        }
        let now = self.node_context.now();
        let mut state = self.node_context.state();
        let state = &mut *state;
        let service = state.catalogue.as_ref()?.find_service(&ctx.service)?;
        let path: Uri = service.health_path.as_ref()?.parse().ok()?;
        let key = slot::choose(&self.node_context, state, ctx, history, now)?.endpoint;
        let endpoint = state.fleet.get(key)?;
        let address = endpoint.entry.address;
        let queue = state.slot_queues.get(&ctx.service)?;
        let held_ms = queue.requests.mean_held_ms();
        let service = &ctx.service;
        if !is_probe_worthwhile(&state.fleet, service, endpoint, held_ms, probes_per_s, now) {
            return None;
        }
        state.fleet.probe_limiter.record(now);
        Some(Target {
            endpoint: key,
            address,
            path,
        })
    }

    async fn probe(&self, target: Target) -> Option<()> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = target.path;
        let host = target.address.to_string().parse().ok()?;
        request.headers_mut().insert(http::header::HOST, host);
        let pool = self.node_context.connection_pool();
        let remote = Remote::Endpoint(target.endpoint);
        // The response repeats no id, so that it could not be told from a surplus one.
        let sending = pool.send_on_new(remote, target.address, request, NO_REQUEST_HASH);
        let (response, connection) = sending.await.ok()?;
        let dialect = self.node_context.dialect();
        let metadata = dialect.parse_response(response.status(), response.headers());
        if !response.status().is_success() {
            return None;
        }
        self.node_context
            .record_endpoint_state(target.endpoint, &metadata);
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        body.collect().await.ok()?;
        pool.release(connection, metadata.keepalive_ms);
        Some(())
    }
}
