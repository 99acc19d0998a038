//! Feed client for other nodes.

use std::collections::HashMap;
use std::time::Duration;

use hemlockhitch_ports::key_value::{Entry, WatchBatch};
use thiserror::Error;
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};

use super::EndpointLoads;
use crate::wire;
use crate::wire::feed_client::FeedClient;

/// How long a call may take beyond the wait that it requests.
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
    /// Demand of other nodes.
    pub(crate) demand: Vec<wire::DemandReport>,
}

/// Channels to the nodes that were called, by address.
#[derive(Debug, Default)]
pub(crate) struct PeerChannels {
    channels: HashMap<String, Channel>,
}

impl PeerChannels {
    /// Returns the channel to a node, which connects with the first call; `None` if the
    /// address is invalid.
    pub(crate) fn get(&mut self, address: &str) -> Option<Channel> {
        if let Some(channel) = self.channels.get(address) {
            return Some(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"));
        let channel = endpoint
            .ok()?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        self.channels.insert(address.to_owned(), channel.clone());
        Some(channel)
    }

    /// Closes the channel to a node.
    pub(crate) fn remove(&mut self, address: &str) {
        self.channels.remove(address);
    }
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
        let result = self.call(address, request).await;
        if result.is_err() {
            self.channels.remove(address);
        }
        result.map_err(|detail| FeedError {
            address: address.to_owned(),
            detail,
        })
    }

    async fn call(
        &mut self,
        address: &str,
        request: wire::FollowRequest,
    ) -> Result<FeedReply, String> {
        let channel = self.channels.get(address).ok_or("the address is invalid")?;
        let mut client = FeedClient::new(channel).max_decoding_message_size(MAX_REPLY_BYTES);
        let margin = if request.revision == 0 {
            COMPLETE_CALL_MARGIN
        } else {
            CALL_MARGIN
        };
        let call_timeout = margin + Duration::from_millis(request.wait_ms);
        match timeout(call_timeout, client.follow(request)).await {
            Ok(Ok(reply)) => Ok(read_reply(reply.into_inner())),
            Ok(Err(status)) => Err(status.message().to_owned()),
            Err(_) => Err("timed out".to_owned()),
        }
    }
}

fn read_reply(reply: wire::FollowReply) -> FeedReply {
    let written = reply.written.into_iter().map(|entry| Entry {
        key: entry.key,
        value: entry.value,
        version: entry.version,
    });
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
        demand: reply.demand,
    }
}
