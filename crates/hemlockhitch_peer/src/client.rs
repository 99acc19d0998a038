//! Calls to peers.

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

/// The most connections that are kept open.
const MAX_CONNECTIONS: usize = 256;

/// The largest answer that a call takes, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 32 << 20;

/// The flow-control window of a connection, in bytes.
const WINDOW_BYTES: u32 = 64 << 10;

/// Calls peers and keeps connections to them; clones share the connections.
#[derive(Clone, Debug)]
pub(crate) struct PeerClients {
    channels: Arc<Mutex<HashMap<String, Channel>>>,
    bounds: CallBounds,
    traffic: Traffic,
}

macro_rules! call {
    ($method:ident($request:ident) -> $reply:ident, $bound:ident) => {
        pub(crate) async fn $method(
            &self,
            address: &str,
            request: wire::$request,
        ) -> Result<wire::$reply, PeerError> {
            self.traffic.sent(&request);
            let mut client = self.client(address)?;
            let call = client.$method(Request::new(request));
            let answer = within(self.bounds.$bound, call).await;
            self.finish(address, answer)
        }
    };
}

/// Bounds of calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallBounds {
    /// Of most calls.
    pub(crate) short: Duration,
    /// Of a call on the path of a request.
    pub(crate) slot: Duration,
    /// Of a call that waits for the store or carries much.
    pub(crate) long: Duration,
}

impl PeerClients {
    pub(crate) fn new(bounds: CallBounds, traffic: Traffic) -> Self {
        Self {
            channels: Arc::default(),
            bounds,
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
        Ok(PeerClient::new(channel).max_decoding_message_size(MAX_ANSWER_BYTES))
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
            .connect_timeout(self.bounds.short)
            .initial_connection_window_size(WINDOW_BYTES)
            .initial_stream_window_size(WINDOW_BYTES)
            .tcp_nodelay(true)
            .connect_lazy())
    }

    fn finish<T: Message>(
        &self,
        address: &str,
        answer: Result<Response<T>, Status>,
    ) -> Result<T, PeerError> {
        match answer {
            Ok(response) => {
                let reply = response.into_inner();
                self.traffic.received(&reply);
                Ok(reply)
            }
            Err(status) => {
                let error = PeerError::from(status);
                if error.kind() == PeerErrorKind::Unreachable {
                    self.forget(address);
                }
                Err(error)
            }
        }
    }

    fn forget(&self, address: &str) {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels.remove(address);
    }
}

/// Waits for an answer. An answer that was read after the bound, by a process
/// that was paused, counts as none.
async fn within<T>(
    bound: Duration,
    call: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<Response<T>, Status> {
    let asked = Instant::now();
    match timeout(bound, call).await {
        Ok(answer) if asked.elapsed() <= bound => answer,
        Ok(_) | Err(_) => Err(Status::deadline_exceeded("no answer in time")),
    }
}

fn evict_one(channels: &mut HashMap<String, Channel>) {
    let victim = channels.keys().next().cloned();
    if let Some(address) = victim {
        channels.remove(&address);
    }
}
