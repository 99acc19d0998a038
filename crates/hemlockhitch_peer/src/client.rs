//! Client for the calls to peers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use prost::Message;
use tokio::time::{Instant, timeout};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

use crate::error::{PeerError, PeerErrorKind};
use crate::traffic::Traffic;
use crate::wire;
use crate::wire::peer_client::PeerClient;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 256;

/// Maximum size of a reply, in bytes.
pub(crate) const MAX_REPLY_BYTES: usize = 32 << 20;

/// Flow-control window of a connection and of a stream, in bytes.
const WINDOW_BYTES: u32 = 64 << 10;

/// Client that calls peers and caches connections; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct PeerClients {
    channels: Arc<Mutex<HashMap<String, Channel>>>,
    timeouts: CallTimeouts,
    traffic: Traffic,
}

macro_rules! call {
    ($method:ident($request:ident) -> $reply:ident, $timeout:ident) => {
        pub(crate) async fn $method(
            &self,
            address: &str,
            request: wire::$request,
        ) -> Result<wire::$reply, PeerError> {
            self.traffic.record_sent(&request);
            let mut client = self.client(address)?;
            let call = client.$method(Request::new(request));
            let result = with_timeout(self.timeouts.$timeout, call).await;
            self.finish(address, result)
        }
    };
}

/// Timeouts of calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimeouts {
    /// Timeout of most calls.
    pub(crate) short: Duration,
    /// Timeout of a slot request, which is on the request path.
    pub(crate) slot: Duration,
    /// Timeout of a call that waits for the store or has a large message.
    pub(crate) long: Duration,
}

impl PeerClients {
    pub(crate) fn new(timeouts: CallTimeouts, traffic: Traffic) -> Self {
        Self {
            channels: Arc::default(),
            timeouts,
            traffic,
        }
    }

    call!(exchange(Digest) -> Digest, short);
    call!(describe(DescribeRequest) -> DescribeReply, short);
    call!(push(PushRequest) -> PushReply, short);
    call!(fetch(FetchRequest) -> FetchReply, long);
    call!(post(PostRequest) -> PostReply, short);
    call!(owners(OwnersRequest) -> OwnersReply, short);
    call!(hand_over(HandOverRequest) -> HandOverReply, long);
    call!(grant(GrantRequest) -> GrantReply, slot);
    call!(settle(SettleRequest) -> SettleReply, short);
    call!(holdings(HoldingsRequest) -> HoldingsReply, short);
    call!(ledger(LedgerRequest) -> LedgerReply, long);

    fn client(&self, address: &str) -> Result<PeerClient<Channel>, PeerError> {
        let channel = self.channel(address)?;
        Ok(PeerClient::new(channel).max_decoding_message_size(MAX_REPLY_BYTES))
    }

    fn channel(&self, address: &str) -> Result<Channel, PeerError> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(address) {
            return Ok(channel.clone());
        }
        let channel = self.connect(address)?;
        if channels.len() >= MAX_CONNECTIONS {
            evict_one(&mut channels);
        }
        channels.insert(address.to_owned(), channel.clone());
        Ok(channel)
    }

    fn connect(&self, address: &str) -> Result<Channel, PeerError> {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(|error| {
            PeerError::new(PeerErrorKind::BadMessage, format!("{address:?}: {error}"))
        })?;
        Ok(endpoint
            .connect_timeout(self.timeouts.short)
            .initial_connection_window_size(WINDOW_BYTES)
            .initial_stream_window_size(WINDOW_BYTES)
            .tcp_nodelay(true)
            .connect_lazy())
    }

    fn finish<T: Message>(
        &self,
        address: &str,
        result: Result<Response<T>, Status>,
    ) -> Result<T, PeerError> {
        match result {
            Ok(response) => {
                let reply = response.into_inner();
                self.traffic.record_received(&reply);
                Ok(reply)
            }
            Err(status) => {
                let error = PeerError::from(status);
                if error.kind() == PeerErrorKind::Unreachable {
                    self.close_connection(address);
                }
                Err(error)
            }
        }
    }

    fn close_connection(&self, address: &str) {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels.remove(address);
    }
}

/// Waits up to `limit` for the reply to a call. A reply that is read later, because
/// the process was paused, counts as a timeout.
async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<Response<T>, Status> {
    let started = Instant::now();
    match timeout(limit, call).await {
        Ok(result) if started.elapsed() <= limit => result,
        Ok(_) | Err(_) => Err(Status::deadline_exceeded("no answer in time")),
    }
}

fn evict_one(channels: &mut HashMap<String, Channel>) {
    let evicted = channels.keys().next().cloned();
    if let Some(address) = evicted {
        channels.remove(&address);
    }
}
