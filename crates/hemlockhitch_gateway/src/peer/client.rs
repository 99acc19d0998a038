//! Calls other nodes for the feed.

use std::collections::HashMap;
use std::time::Duration;

use hemlockhitch_ports::key_value::{Entry, WatchBatch};
use thiserror::Error;
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};

use super::Loads;
use crate::wire;
use crate::wire::feed_client::FeedClient;

/// How long a call may take beyond its own wait.
const LIMIT: Duration = Duration::from_millis(300);

/// How long a connection may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// The largest answer, in bytes: a whole configuration with its endpoints.
const ANSWER_BYTES_MOST: usize = 32 << 20;

/// Another node gave no feed.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("no feed from {address}: {detail}; the store is asked instead")]
pub(crate) struct FeedError {
    address: String,
    detail: String,
}

/// What another node told.
#[derive(Debug)]
pub(crate) struct FeedAnswer {
    /// What changed.
    pub(crate) batch: WatchBatch,
    /// The age of the node's knowledge when it answered, in milliseconds.
    pub(crate) age_ms: u64,
    /// What the other nodes of the data centre have at its endpoints.
    pub(crate) loads: Loads,
}

/// Connections to the nodes that were asked.
#[derive(Debug, Default)]
pub(crate) struct FeedClients {
    channels: HashMap<String, Channel>,
}

impl FeedClients {
    /// Asks a node for what changed after a revision.
    pub(crate) async fn follow(
        &mut self,
        address: &str,
        request: wire::FollowRequest,
    ) -> Result<FeedAnswer, FeedError> {
        let result = self.ask(address, request).await;
        if result.is_err() {
            self.channels.remove(address);
        }
        result.map_err(|detail| FeedError {
            address: address.to_owned(),
            detail,
        })
    }

    async fn ask(
        &mut self,
        address: &str,
        request: wire::FollowRequest,
    ) -> Result<FeedAnswer, String> {
        let channel = self.channel(address)?;
        let mut client = FeedClient::new(channel).max_decoding_message_size(ANSWER_BYTES_MOST);
        let limit = LIMIT + Duration::from_millis(request.wait_ms);
        match timeout(limit, client.follow(request)).await {
            Ok(Ok(reply)) => Ok(answer(reply.into_inner())),
            Ok(Err(status)) => Err(status.message().to_owned()),
            Err(_) => Err("no answer in time".to_owned()),
        }
    }

    fn channel(&mut self, address: &str) -> Result<Channel, String> {
        if let Some(channel) = self.channels.get(address) {
            return Ok(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"));
        let channel = endpoint
            .map_err(|error| error.to_string())?
            .connect_timeout(CONNECT_LIMIT)
            .tcp_nodelay(true)
            .connect_lazy();
        self.channels.insert(address.to_owned(), channel.clone());
        Ok(channel)
    }
}

fn answer(reply: wire::FollowReply) -> FeedAnswer {
    let written = reply.written.into_iter().map(|entry| Entry {
        key: entry.key,
        value: entry.value,
        version: entry.version,
    });
    FeedAnswer {
        batch: WatchBatch {
            written: written.collect(),
            deleted: reply.deleted,
            complete: reply.complete,
            revision: reply.revision,
        },
        age_ms: reply.age_ms,
        loads: super::server::read_loads(reply.loads),
    }
}
