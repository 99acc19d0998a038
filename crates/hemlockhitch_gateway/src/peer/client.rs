//! Feed client for other nodes.

use std::collections::HashMap;
use std::time::Duration;

use hemlockhitch_client::wait_while_arriving;
use hemlockhitch_ports::key_value::{Entry, WatchBatch};
use thiserror::Error;
use tokio::time::Instant;
use tonic::Code;
use tonic::transport::{Channel, Endpoint};
use tower::service_fn;

use super::EndpointLoads;
use super::counted_stream::{self, ReceivedBytes};
use crate::wire;
use crate::wire::feed_client::FeedClient;

/// How long a call may take beyond the wait that it requests, if its reply does not arrive
/// meanwhile.
const CALL_MARGIN: Duration = Duration::from_millis(300);

/// The same for a complete reply, which takes long on a slow link.
const COMPLETE_CALL_MARGIN: Duration = Duration::from_millis(1_500);

/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of a reply, in bytes: a complete configuration with its endpoints.
const MAX_REPLY_BYTES: usize = 32 << 20;

/// A feed call to another node failed.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("feed call to {address} failed: {detail}; falling back to the store")]
pub(crate) struct FeedError {
    address: String,
    detail: String,
    /// Whether the node has no bandwidth left for its reply.
    pub(crate) is_overloaded: bool,
    /// How long the call took, in milliseconds.
    pub(crate) took_ms: u64,
    /// Bytes that arrived meanwhile.
    pub(crate) received_bytes: u64,
}

/// The reply of another node.
#[derive(Debug)]
pub(crate) struct FeedReply {
    /// The changes since the requested revision.
    pub(crate) batch: WatchBatch,
    /// The age of the node's state when it replied, in milliseconds.
    pub(crate) age_ms: u64,
    /// Outstanding requests of the other nodes at the endpoints of the data centre.
    pub(crate) loads: EndpointLoads,
    /// Hashes of the endpoint instances that are leaving.
    pub(crate) leaving: Vec<u64>,
    /// Hashes of the endpoint instances that were removed recently, with the time since
    /// then in milliseconds.
    pub(crate) removed: Vec<(u64, u64)>,
    /// Demand of other nodes.
    pub(crate) demand: Vec<wire::DemandReport>,
}

/// Channels to the nodes that were called, by address.
#[derive(Debug, Default)]
pub(crate) struct PeerChannels {
    channels: HashMap<String, (Channel, ReceivedBytes)>,
}

impl PeerChannels {
    /// Returns the channel to a node, which connects with the first call; `None` if the
    /// address is invalid.
    pub(crate) fn get(&mut self, address: &str) -> Option<Channel> {
        self.get_counted(address).map(|(channel, _)| channel)
    }

    /// The same with the number of bytes received over the channel.
    fn get_counted(&mut self, address: &str) -> Option<(Channel, ReceivedBytes)> {
        if let Some(counted) = self.channels.get(address) {
            return Some(counted.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let received = ReceivedBytes::default();
        let connect = {
            let received = received.clone();
            move |uri| counted_stream::connect(uri, received.clone())
        };
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .connect_with_connector_lazy(service_fn(connect));
        let counted = (channel, received);
        self.channels.insert(address.to_owned(), counted.clone());
        Some(counted)
    }

    /// Closes the channel to a node.
    pub(crate) fn remove(&mut self, address: &str) {
        self.channels.remove(address);
    }
}

/// Why a call gave no reply.
#[derive(Debug)]
struct CallFailure {
    detail: String,
    is_overloaded: bool,
}

/// Calls nodes for the store's content.
#[derive(Debug, Default)]
pub(crate) struct FeedClients {
    channels: PeerChannels,
}

impl FeedClients {
    /// Requests the changes after a revision from a node.
    pub(crate) async fn follow(
        &mut self,
        address: &str,
        request: wire::FollowRequest,
    ) -> Result<FeedReply, FeedError> {
        let started = Instant::now();
        let counted = self.channels.get_counted(address);
        let (channel, received) = counted.ok_or_else(|| FeedError {
            address: address.to_owned(),
            detail: "the address is invalid".to_owned(),
            is_overloaded: false,
            took_ms: 0,
            received_bytes: 0,
        })?;
        let received_before = received.get();
        let received_bytes = || received.get() - received_before;
        let result = call(channel, request, received_bytes).await;
        if result.is_err() {
            self.channels.remove(address);
        }
        result.map_err(|failure| FeedError {
            address: address.to_owned(),
            is_overloaded: failure.is_overloaded,
            detail: failure.detail,
            took_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
            received_bytes: received_bytes(),
        })
    }
}

async fn call(
    channel: Channel,
    request: wire::FollowRequest,
    received_bytes: impl Fn() -> u64,
) -> Result<FeedReply, CallFailure> {
    let mut client = FeedClient::new(channel).max_decoding_message_size(MAX_REPLY_BYTES);
    let margin = if request.revision == 0 {
        COMPLETE_CALL_MARGIN
    } else {
        CALL_MARGIN
    };
    let call_timeout = margin + Duration::from_millis(request.wait_ms);
    match wait_while_arriving(client.follow(request), call_timeout, received_bytes).await {
        Some(Ok(reply)) => Ok(read_reply(reply.into_inner())),
        Some(Err(status)) => Err(CallFailure {
            detail: status.message().to_owned(),
            is_overloaded: status.code() == Code::ResourceExhausted,
        }),
        None => Err(CallFailure {
            detail: "timed out".to_owned(),
            is_overloaded: false,
        }),
    }
}

fn read_reply(reply: wire::FollowReply) -> FeedReply {
    let written = reply.written.into_iter().map(|entry| Entry {
        key: entry.key,
        value: entry.value,
        version: entry.version,
    });
    let removed = reply.removed.into_iter();
    let removed = removed.map(|removed| (removed.instance_hash, removed.age_ms.into()));
    FeedReply {
        batch: WatchBatch {
            written: written.collect(),
            deleted: reply.deleted,
            complete: reply.complete,
            revision: reply.revision,
            epoch: reply.epoch,
        },
        age_ms: reply.age_ms,
        loads: super::server::loads_from_wire(reply.loads),
        leaving: reply.leaving,
        removed: removed.collect(),
        demand: reply.demand,
    }
}
