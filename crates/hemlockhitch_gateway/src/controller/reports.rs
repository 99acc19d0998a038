//! Asks endpoints whether they still run requests.

use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::{Clock, EndpointKey, ServiceName};
use http::{Method, Request, Uri};
use http_body_util::{BodyExt, Full};
use tokio::time::timeout;

use crate::connection::Remote;
use crate::dialect::Dialect;
use crate::state::NodeContext;

/// Timeout for fetching a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether the endpoints of the versions that a roll-out replaces are idle; an
/// endpoint that cannot be asked counts as busy.
pub(super) async fn are_old_endpoints_idle<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    service: &ServiceName,
) -> bool {
    let old_endpoints: Vec<(EndpointKey, std::net::SocketAddr)> = {
        let mut state = node_context.state();
        let Some(roll_out) = state.roll_outs.get(service) else {
            return false;
        };
        let target = &roll_out.order().target;
        let old_endpoints = state.fleet.of_service(service);
        let old_endpoints: Vec<_> = old_endpoints
            .filter(|(_, endpoint)| endpoint.entry.version != *target)
            .collect();
        if old_endpoints
            .iter()
            .any(|(_, endpoint)| endpoint.in_flight > 0)
        {
            return false;
        }
        let now = node_context.now();
        let nodes = state.node_shares(node_context.settings());
        let may_ask = |endpoint| {
            let is_within_rate = state.fleet.rate_wait_ms(endpoint, nodes, now) == Some(0);
            is_within_rate && endpoint.pause_remaining_ms(now) == 0
        };
        if !old_endpoints.iter().all(|(_, endpoint)| may_ask(endpoint)) {
            return false;
        }
        let addresses = old_endpoints
            .iter()
            .map(|(key, endpoint)| (*key, endpoint.entry.address));
        let addresses: Vec<_> = addresses.collect();
        for (key, _) in &addresses {
            if let Some(endpoint) = state.fleet.get_mut(*key) {
                endpoint.record_sent(now);
            }
        }
        addresses
    };
    for (key, address) in old_endpoints {
        if query_request_count(node_context, key, address).await != Some(0) {
            return false;
        }
    }
    true
}

async fn query_request_count<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    endpoint: EndpointKey,
    address: std::net::SocketAddr,
) -> Option<u32> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = Uri::from_static(node_context.dialect().report_path());
    let host = address.to_string().parse().ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    let query = async {
        // A report repeats no id, so that a late copy of an earlier one cannot be told from it.
        let (response, connection) = node_context
            .connection_pool()
            .send_on_new(Remote::Endpoint(endpoint), address, request, 0)
            .await
            .ok()?;
        let metadata = node_context
            .dialect()
            .parse_response(response.status(), response.headers());
        node_context.record_endpoint_state(endpoint, &metadata);
        let body = response.into_body().collect().await.ok()?.to_bytes();
        node_context.connection_pool().release(connection, None);
        node_context.dialect().parse_report(&body)
    };
    timeout(REPORT_TIMEOUT, query).await.ok().flatten()
}
