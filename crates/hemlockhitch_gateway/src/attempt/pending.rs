//! A request that was sent and has no response head yet.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::{Clock, EndpointKey};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::connection::{Connection, Remote, SendError};
use crate::dialect::Dialect;
use crate::state::NodeContext;

/// How long a response is awaited whose request was given up. An endpoint that refuses a
/// request at its deadline states then what holds for later ones, such as a pause.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

type SendResult = Result<(Response<Incoming>, Connection), SendError>;

/// A request on its way. If it is dropped, a response head that arrives soon after is still
/// read for what it states about its endpoint, and the connection is closed then.
#[derive(Debug)]
pub(super) struct PendingResponse<D: Dialect, C: Clock> {
    node_context: NodeContext<D, C>,
    endpoint: EndpointKey,
    sending: Option<JoinHandle<SendResult>>,
}

impl<D: Dialect, C: Clock> PendingResponse<D, C> {
    /// Sends a request to an endpoint.
    pub(super) fn send(
        node_context: &NodeContext<D, C>,
        endpoint: EndpointKey,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        request_hash: u64,
    ) -> Self {
        let context = node_context.clone();
        let sending = tokio::spawn(async move {
            let pool = context.connection_pool();
            pool.send(Remote::Endpoint(endpoint), address, request, request_hash)
                .await
        });
        Self {
            node_context: node_context.clone(),
            endpoint,
            sending: Some(sending),
        }
    }

    /// Waits for the response head.
    pub(super) async fn wait(mut self) -> SendResult {
        let Some(sending) = &mut self.sending else {
            return Err(SendError::Broken);
        };
        let sent = sending.await;
        self.sending = None;
        // A task that panicked may have sent the request.
        sent.unwrap_or(Err(SendError::Broken))
    }
}

impl<D: Dialect, C: Clock> Drop for PendingResponse<D, C> {
    fn drop(&mut self) {
        let (Some(mut sending), Ok(runtime)) = (self.sending.take(), Handle::try_current()) else {
            return;
        };
        let node_context = self.node_context.clone();
        let endpoint = self.endpoint;
        runtime.spawn(async move {
            match timeout(LATE_RESPONSE_TIMEOUT, &mut sending).await {
                Ok(Ok(Ok((response, _connection)))) => {
                    let dialect = node_context.dialect();
                    let metadata = dialect.parse_response(response.status(), response.headers());
                    if response.status() != http::StatusCode::MISDIRECTED_REQUEST {
                        node_context.record_endpoint_state(endpoint, &metadata);
                    }
                }
                Ok(_) => {}
                Err(_) => sending.abort(),
            }
        });
    }
}
