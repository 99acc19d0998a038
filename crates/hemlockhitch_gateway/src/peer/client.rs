//! Calls other nodes for the feed.

use std::collections::HashMap;
use std::time::Duration;

use hemlockhitch_ports::key_value::{Entry, WatchBatch};
use thiserror::Error;
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};

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

/// Connections to the nodes that were asked.
#[derive(Debug, Default)]
pub(crate) struct FeedClients {
    channels: HashMap<String, Channel>,
}

impl FeedClients {
    /// Asks a node for what changed after a revision; returns it with the age of the
    /// node's knowledge when it answered, in milliseconds.
    pub(crate) async fn follow(
        &mut self,
        address: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<(WatchBatch, u64), FeedError> {
        let result = self.ask(address, revision, wait_ms).await;
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
        revision: u64,
        wait_ms: u64,
    ) -> Result<(WatchBatch, u64), String> {
        let channel = self.channel(address)?;
        let mut client = FeedClient::new(channel).max_decoding_message_size(ANSWER_BYTES_MOST);
        let request = wire::FollowRequest { revision, wait_ms };
        let limit = LIMIT + Duration::from_millis(wait_ms);
        match timeout(limit, client.follow(request)).await {
            Ok(Ok(reply)) => Ok(batch(reply.into_inner())),
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

fn batch(reply: wire::FollowReply) -> (WatchBatch, u64) {
    let written = reply.written.into_iter().map(|entry| Entry {
        key: entry.key,
        value: entry.value,
        version: entry.version,
    });
    let batch = WatchBatch {
        written: written.collect(),
        deleted: reply.deleted,
        complete: reply.complete,
        revision: reply.revision,
    };
    (batch, reply.age_ms)
}
