//! Server for the calls from peers.

use std::sync::Arc;

use hemlockhitch_ledger::call::{LedgerCall, LedgerService};
use hemlockhitch_model::{Clock, Now};
use prost::Message;
use tokio::sync::{mpsc, oneshot};
use tonic::{Request, Response, Status};

use crate::error::{PeerError, PeerErrorKind};
use crate::exchange;
use crate::feed::{ConfigurationSync, decode_changes};
use crate::member::{Identity, NodeId};
use crate::notice::Notice;
use crate::ownership::{Bucket, IncomingHandOver};
use crate::shared::Shared;
use crate::slots::{Grant, GrantAnswer, SlotRequest, handle_settle, list_holdings};
use crate::wire;
use crate::wire::peer_server::Peer;

type ReplyResult<T> = Result<Response<T>, Status>;

/// Implementation of the peer protocol of one node.
#[derive(Clone, Debug)]
pub(crate) struct PeerService<L, C> {
    pub(crate) shared: Arc<Shared>,
    pub(crate) sync: ConfigurationSync,
    pub(crate) hand_over_sender: mpsc::Sender<IncomingHandOver>,
    pub(crate) ledger: L,
    pub(crate) clock: C,
}

impl<L: LedgerService, C: Clock> PeerService<L, C> {
    /// Returns the message of a call and the current time; fails once the node has
    /// stopped.
    fn receive<T: Message>(&self, request: Request<T>) -> Result<(T, Now), PeerError> {
        if self.shared.is_stopped() {
            return Err(PeerError::new(PeerErrorKind::Stopped, "peer service"));
        }
        let message = request.into_inner();
        self.shared.traffic.record_received(&message);
        Ok((message, self.clock.now()))
    }

    /// Returns the recorded owner of a bucket, or `None` if this node is the owner.
    fn other_owner(&self, bucket: Bucket) -> Option<wire::Owner> {
        let ownership = &self.shared.ownership;
        let is_own = ownership.fencing_token(bucket, self.clock.now()).is_some();
        ownership.known_owner(bucket).filter(|_| !is_own)
    }

    fn reply<T: Message>(&self, message: T) -> ReplyResult<T> {
        self.shared.traffic.record_sent(&message);
        Ok(Response::new(message))
    }
}

fn grant_reply(answer: GrantAnswer) -> wire::GrantReply {
    let mut reply = wire::GrantReply::default();
    match answer {
        GrantAnswer::Granted { slots, warm } => {
            reply.set_answer(wire::GrantAnswer::Granted);
            reply.slots = slots;
            reply.warm = warm;
        }
        GrantAnswer::Full => reply.set_answer(wire::GrantAnswer::Full),
        GrantAnswer::Closed => reply.set_answer(wire::GrantAnswer::Closed),
    }
    reply
}

#[tonic::async_trait]
impl<L: LedgerService, C: Clock> Peer for PeerService<L, C> {
    async fn exchange(&self, request: Request<wire::Digest>) -> ReplyResult<wire::Digest> {
        let (digest, now) = self.receive(request)?;
        exchange::check(&digest)?;
        let follow_up = exchange::apply(&self.shared, digest, now)?;
        let peer = follow_up.sender;
        let (shared, sync) = (self.shared.clone(), self.sync.clone());
        self.shared.spawn(async move {
            exchange::run_follow_up(&shared, &sync, follow_up, now).await;
        });
        let reply = exchange::compose(&self.shared, peer, now);
        self.shared.traffic.record_digest(&reply);
        self.reply(reply)
    }

    async fn describe(
        &self,
        request: Request<wire::DescribeRequest>,
    ) -> ReplyResult<wire::DescribeReply> {
        let (message, _) = self.receive(request)?;
        let members = self.shared.members();
        let known = message
            .node_ids
            .iter()
            .filter_map(|id| members.get(NodeId(*id)))
            .map(|member| member.identity.to_wire(member.status))
            .collect();
        drop(members);
        self.reply(wire::DescribeReply { members: known })
    }

    async fn push(&self, request: Request<wire::PushRequest>) -> ReplyResult<wire::PushReply> {
        let (message, _) = self.receive(request)?;
        let sender = message.sender.unwrap_or_default();
        let identity = Identity::from_wire(&sender)?;
        let complete = match message.changes_json.as_slice() {
            [] => false,
            json => self.sync.apply_changes(decode_changes(json)?),
        };
        if !complete {
            self.sync.fetch_soon(identity.address);
        }
        let entry = self.shared.own_wire().entry;
        self.reply(wire::PushReply { entry })
    }

    async fn fetch(&self, request: Request<wire::FetchRequest>) -> ReplyResult<wire::FetchReply> {
        let (message, _) = self.receive(request)?;
        if !self.shared.is_loaded() {
            let detail = "the called node has no configuration yet";
            return Err(PeerError::new(PeerErrorKind::Unreachable, detail).into());
        }
        self.reply(self.sync.serve_fetch(message))
    }

    async fn post(&self, request: Request<wire::PostRequest>) -> ReplyResult<wire::PostReply> {
        let (message, now) = self.receive(request)?;
        let notices = message
            .notices
            .into_iter()
            .map(Notice::from_wire)
            .collect::<Result<Vec<_>, PeerError>>()?;
        for notice in notices {
            self.shared.notices.merge(notice, now);
        }
        self.reply(wire::PostReply {})
    }

    async fn owners(
        &self,
        request: Request<wire::OwnersRequest>,
    ) -> ReplyResult<wire::OwnersReply> {
        let (_, now) = self.receive(request)?;
        self.reply(wire::OwnersReply {
            owners: self.shared.ownership.known_owners(),
            notices: self.shared.notices.valid(now),
        })
    }

    async fn hand_over(
        &self,
        request: Request<wire::HandOverRequest>,
    ) -> ReplyResult<wire::HandOverReply> {
        let (message, now) = self.receive(request)?;
        let bucket = Bucket::from_wire_id(message.bucket)
            .ok_or_else(|| PeerError::new(PeerErrorKind::BadMessage, "unknown bucket"))?;
        let grants = message.grants.into_iter();
        let (reply, accepted) = oneshot::channel();
        let hand_over = IncomingHandOver {
            bucket,
            version: message.version,
            grants: grants.map(|grant| Grant::from_wire(grant, now)).collect(),
            closed_for_ms: message.closed_for_ms,
            reply,
        };
        let sent = self.hand_over_sender.send(hand_over).await;
        let version = match sent {
            Ok(()) => accepted.await.ok().flatten(),
            Err(_) => None,
        };
        self.reply(wire::HandOverReply {
            taken: version.is_some(),
            version: version.unwrap_or_default(),
        })
    }

    async fn grant(&self, request: Request<wire::GrantRequest>) -> ReplyResult<wire::GrantReply> {
        let (message, now) = self.receive(request)?;
        let slot = SlotRequest {
            endpoint: message.endpoint.into(),
            cold_limit: message.cold_limit,
            warm_limit: message.warm_limit,
        };
        let node = NodeId(message.node_id);
        let granted = self
            .shared
            .run_if_owner(&slot.endpoint, now, |grant_table| {
                grant_table.grant(node, message.grant_id, &slot, now)
            });
        let bucket = self.shared.ownership.endpoint_bucket(&slot.endpoint);
        let not_owner = || wire::GrantReply {
            answer: wire::GrantAnswer::NotOwner.into(),
            owner: self.other_owner(bucket),
            ..wire::GrantReply::default()
        };
        self.reply(granted.map_or_else(not_owner, grant_reply))
    }

    async fn settle(
        &self,
        request: Request<wire::SettleRequest>,
    ) -> ReplyResult<wire::SettleReply> {
        let (message, now) = self.receive(request)?;
        self.reply(handle_settle(&self.shared, message, now))
    }

    async fn holdings(
        &self,
        request: Request<wire::HoldingsRequest>,
    ) -> ReplyResult<wire::HoldingsReply> {
        let (message, now) = self.receive(request)?;
        let buckets: Vec<Bucket> = message
            .buckets
            .into_iter()
            .filter_map(Bucket::from_wire_id)
            .collect();
        let held = list_holdings(&self.shared, &buckets, now);
        let grants = held.iter().map(|grant| grant.to_wire(now)).collect();
        self.reply(wire::HoldingsReply { grants })
    }

    async fn ledger(
        &self,
        request: Request<wire::LedgerRequest>,
    ) -> ReplyResult<wire::LedgerReply> {
        let (message, now) = self.receive(request)?;
        let call: LedgerCall = serde_json::from_slice(&message.call_json).map_err(|error| {
            PeerError::new(PeerErrorKind::BadMessage, format!("ledger call: {error}"))
        })?;
        let shard = call.shard(self.shared.settings.ledger_shards);
        let reply = self.ledger.handle(call, now).await;
        let reply_json = serde_json::to_vec(&reply)
            .map_err(|error| Status::internal(format!("ledger reply: {error}")))?;
        let owner = self.other_owner(Bucket::of_shard(shard));
        self.reply(wire::LedgerReply { reply_json, owner })
    }
}
