//! Asks endpoints whether they still run something.

use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::{Clock, EndpointKey, ServiceName};
use http::{Method, Request, Uri};
use http_body_util::{BodyExt, Full};
use tokio::time::timeout;

use crate::dialect::Dialect;
use crate::state::Shared;

/// How long a report may take, in milliseconds.
const LIMIT: Duration = Duration::from_millis(300);

/// Returns whether the endpoints of the versions that a roll-out leaves run nothing
/// any more; an endpoint that cannot be asked counts as busy.
pub(super) async fn others_idle<D: Dialect, C: Clock>(
    shared: &Shared<D, C>,
    service: &ServiceName,
) -> bool {
    let others: Vec<(EndpointKey, std::net::SocketAddr)> = {
        let state = shared.state();
        let Some(roll_out) = state.roll_outs.get(service) else {
            return false;
        };
        let target = &roll_out.order().target;
        let others = state.fleet.of_service(service);
        let others: Vec<_> = others
            .filter(|(_, endpoint)| endpoint.entry.version != *target)
            .collect();
        if others.iter().any(|(_, endpoint)| endpoint.in_flight > 0) {
            return false;
        }
        let addresses = others
            .iter()
            .map(|(key, endpoint)| (*key, endpoint.entry.address));
        addresses.collect()
    };
    for (key, address) in others {
        if requests_at(shared, key, address).await != Some(0) {
            return false;
        }
    }
    true
}

async fn requests_at<D: Dialect, C: Clock>(
    shared: &Shared<D, C>,
    endpoint: EndpointKey,
    address: std::net::SocketAddr,
) -> Option<u32> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = Uri::from_static(shared.dialect().report_path());
    let host = address.to_string().parse().ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    let asking = async {
        let (response, connection) = shared
            .connections()
            .send(endpoint, address, request)
            .await
            .ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        shared.connections().keep(connection, None);
        shared.dialect().report_requests(&body)
    };
    timeout(LIMIT, asking).await.ok().flatten()
}
