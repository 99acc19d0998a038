//! Serves the feed and passed requests to other nodes.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use hemlockhitch_model::{Clock, Now, StorePosition};
use hemlockhitch_ports::key_value::WatchBatch;
use hemlockhitch_routing::fleet::Outstanding;
use hemlockhitch_routing::limits::ByteBudget;
use http::Version;
use http::header::{CONNECTION, HeaderValue};
use http_body_util::Either;
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tonic::body::Body;
use tonic::{Request, Response, Status};

use super::{EndpointLoads, demand_from_wire};
use crate::attempt::{Gateway, ResponseBody};
use crate::connection;
use crate::dialect::Dialect;
use crate::listener::{Drain, Readiness};
use crate::state::NodeContext;
use crate::wire;
use crate::wire::feed_server::{Feed, FeedServer};

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum wait of a call, in milliseconds.
const MAX_WAIT_MS: u64 = 5_000;

/// Share of the node's capacity, as one part in this number, that complete replies may
/// take; the rest is for requests and other replies.
const COMPLETE_REPLIES_DIVISOR: u64 = 4;

/// The same for large changes, which must reach every follower within seconds.
const LARGE_CHANGES_DIVISOR: u64 = 2;

/// Size from which a change counts as large, in bytes: smaller ones cost less than another
/// call.
const LARGE_CHANGE_BYTES: u64 = 64 * 1_024;

/// Bytes per second that a capacity of one stands for: a megabit per second.
const BYTES_PER_CAPACITY: u64 = 125_000;

/// Maximum size of the buffers of a connection for passed requests, in bytes: room for the
/// head of a caller's request with what nodes add to it.
const MAX_BUFFER_BYTES: usize = 64 * 1_024;

/// Passes on the node's copy of the store.
#[derive(Debug)]
struct FeedService<D, C> {
    node_context: NodeContext<D, C>,
    complete_replies: Mutex<ByteBudget>,
    large_changes: Mutex<ByteBudget>,
}

/// Serves the feed and requests that other nodes pass on `address`, in the background, until
/// `drain` stops it.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve_peers<D: Dialect, C: Clock>(
    address: SocketAddr,
    gateway: Gateway<D, C>,
    readiness: Readiness<D, C>,
    drain: Drain,
) -> io::Result<SocketAddr> {
    let node_context = gateway.node_context().clone();
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let capacity = u64::from(node_context.settings().peer_capacity);
    let budget = |divisor| Mutex::new(ByteBudget::new(capacity * BYTES_PER_CAPACITY / divisor));
    let peer_service = PeerService {
        feed: FeedServer::new(FeedService {
            node_context,
            complete_replies: budget(COMPLETE_REPLIES_DIVISOR),
            large_changes: budget(LARGE_CHANGES_DIVISOR),
        }),
        gateway,
        readiness,
    };
    tokio::spawn(async move {
        let serve = |stream| {
            let connection = serve_connection(stream, peer_service.clone(), drain.clone());
            tokio::spawn(connection);
        };
        let on_error = |error: &io::Error| {
            tracing::warn!(event = "HH1260", %error, "failed to accept a peer's connection");
        };
        drain
            .accept(listener, ACCEPT_RETRY_DELAY, on_error, serve)
            .await;
    });
    Ok(address)
}

async fn serve_connection<D: Dialect, C: Clock>(
    stream: TcpStream,
    peer_service: PeerService<D, C>,
    drain: Drain,
) {
    if let Err(error) = connection::configure_socket(&stream) {
        tracing::debug!(event = "HH1262", %error, "failed to configure a peer's connection");
        return;
    }
    // Feed calls are long polls; a stopping node waits only for passed requests.
    let passed = OnceLock::new();
    let service = service_fn(|request: http::Request<Incoming>| {
        if request.version() != Version::HTTP_2 {
            passed.get_or_init(|| drain.track());
        }
        peer_service.clone().handle(request, drain.is_closing())
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().max_buf_size(MAX_BUFFER_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let served = tokio::select! {
        biased;
        served = connection.as_mut() => served,
        () = drain.wait_for_shutdown() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        tracing::debug!(event = "HH1263", %error, "peer's connection failed");
    }
}

/// What a node serves to others: the feed over HTTP/2, passed requests over HTTP/1.1.
#[derive(Debug)]
struct PeerService<D, C> {
    feed: FeedServer<FeedService<D, C>>,
    gateway: Gateway<D, C>,
    readiness: Readiness<D, C>,
}

impl<D, C> Clone for PeerService<D, C> {
    fn clone(&self) -> Self {
        Self {
            feed: self.feed.clone(),
            gateway: self.gateway.clone(),
            readiness: self.readiness.clone(),
        }
    }
}

impl<D: Dialect, C: Clock> PeerService<D, C> {
    async fn handle(
        self,
        request: http::Request<Incoming>,
        is_closing: bool,
    ) -> Result<http::Response<Either<Body, ResponseBody>>, Infallible> {
        if request.version() == Version::HTTP_2 {
            let response = TowerToHyperService::new(self.feed).call(request).await?;
            return Ok(response.map(Either::Left));
        }
        let is_ready = self.readiness.is_ready();
        let mut response = self.gateway.handle_passed(request, is_ready).await;
        if is_closing {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(response.map(Either::Right))
    }
}

#[tonic::async_trait]
impl<D: Dialect, C: Clock> Feed for FeedService<D, C> {
    async fn follow(
        &self,
        request: Request<wire::FollowRequest>,
    ) -> Result<Response<wire::FollowReply>, Status> {
        let mut request = request.into_inner();
        let loads = loads_from_wire(std::mem::take(&mut request.loads));
        self.node_context.record_loads(&request.node, loads);
        self.node_context.merge_leaving(&request.leaving);
        let follower_demand = request.demand.take().and_then(demand_from_wire);
        let known = StorePosition {
            epoch: request.epoch,
            revision: request.revision,
        };
        let wait = Duration::from_millis(request.wait_ms.min(MAX_WAIT_MS));
        let mut positions = self.node_context.positions();
        let newer = positions.wait_for(|position| *position > known);
        // When the wait times out, the reply states that nothing changed and how recent
        // that is.
        let _ = timeout(wait, newer).await;
        let now = self.node_context.now();
        let age_ms = self.node_context.state().freshness.age_ms(now);
        let Some(age_ms) = age_ms else {
            return Err(Status::unavailable("the node does not know the store yet"));
        };
        let batch = self.node_context.mirror().changes_since(known);
        if !self.may_send(&batch, now) {
            return Err(Status::resource_exhausted(
                "the node's link is in use for other followers; ask another source",
            ));
        }
        let loads = self.node_context.loads_except(&request.node);
        let leaving = self.node_context.leaving();
        let removed = if batch.complete {
            self.node_context.state().fleet.removed(now)
        } else {
            Vec::new()
        };
        let mut reply = write_reply(batch, age_ms, &loads, leaving);
        reply.removed = removed_to_wire(removed);
        if let Some(report) = follower_demand {
            reply.demand = self.node_context.answer_demand(report);
        }
        Ok(Response::new(reply))
    }

    async fn exchange(
        &self,
        request: Request<wire::Facts>,
    ) -> Result<Response<wire::Facts>, Status> {
        let reply = self.node_context.answer_exchange(&request.into_inner());
        Ok(Response::new(reply))
    }
}

impl<D: Dialect, C: Clock> FeedService<D, C> {
    /// Returns whether a batch fits into what the node sends of complete and large ones.
    fn may_send(&self, batch: &WatchBatch, now: Now) -> bool {
        let entries = batch.written.iter();
        let bytes: usize = entries
            .map(|entry| entry.key.len() + entry.value.len())
            .sum();
        let bytes = bytes as u64;
        let budget = match batch.complete {
            true => &self.complete_replies,
            false if bytes >= LARGE_CHANGE_BYTES => &self.large_changes,
            false => return true,
        };
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(bytes, now)
    }
}

fn write_reply(
    batch: WatchBatch,
    age_ms: u64,
    loads: &EndpointLoads,
    leaving: Vec<u64>,
) -> wire::FollowReply {
    let written = batch.written.into_iter().map(|entry| wire::StoredEntry {
        key: entry.key,
        value: entry.value,
        version: entry.version,
    });
    wire::FollowReply {
        revision: batch.revision,
        complete: batch.complete,
        written: written.collect(),
        deleted: batch.deleted,
        age_ms,
        loads: loads_to_wire(loads),
        epoch: batch.epoch,
        leaving,
        removed: Vec::new(),
        demand: Vec::new(),
    }
}

fn removed_to_wire(removed: Vec<(u64, u64)>) -> Vec<wire::RemovedInstance> {
    let removed = removed.into_iter();
    let removed = removed.map(|(instance_hash, age_ms)| wire::RemovedInstance {
        instance_hash,
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    });
    removed.collect()
}

/// Encodes loads for the feed.
pub(crate) fn loads_to_wire(loads: &EndpointLoads) -> Vec<wire::EndpointLoad> {
    let loads = loads
        .iter()
        .map(|(endpoint_hash, outstanding)| wire::EndpointLoad {
            endpoint_hash: *endpoint_hash,
            requests: outstanding.requests,
            unread_tokens: u32::try_from(outstanding.pending_prefill_tokens).unwrap_or(u32::MAX),
            pause_ms: u32::try_from(outstanding.pause_remaining_ms).unwrap_or(u32::MAX),
        });
    loads.collect()
}

/// Decodes loads of the feed.
pub(super) fn loads_from_wire(loads: Vec<wire::EndpointLoad>) -> EndpointLoads {
    let loads = loads.into_iter().map(|load| {
        let outstanding = Outstanding {
            requests: load.requests,
            pending_prefill_tokens: load.unread_tokens.into(),
            pause_remaining_ms: load.pause_ms.into(),
        };
        (load.endpoint_hash, outstanding)
    });
    loads.collect()
}
