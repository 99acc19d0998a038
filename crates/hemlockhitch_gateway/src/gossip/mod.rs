//! Exchanges facts that nodes observe themselves, directly between the nodes.
//!
//! What a node learns goes to a few others at once. Besides, each node compares what it
//! knows with one of them at intervals, which reaches nodes that start or were cut off.
//! The store is not involved, so this works while it is down.

mod facts;

use std::time::Duration;

use facts::Sequences;
use hemlockhitch_model::Clock;
use hemlockhitch_routing::gossip::{GossipPeers, SharedFacts};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tonic::transport::Channel;

use crate::dialect::Dialect;
use crate::peer::PeerChannels;
use crate::state::NodeContext;
use crate::wire;
use crate::wire::feed_client::FeedClient;

/// Interval at which a node compares its facts with another node.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The same while the last comparison failed, or until the first one has succeeded.
const COMPARE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum interval between two rounds of new facts: those of an endpoint's crash arrive
/// together.
const SEND_INTERVAL: Duration = Duration::from_millis(30);

/// Timeout of an exchange, many times the latency between data centres.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Exchanges facts with other nodes until the task is cancelled.
pub async fn exchange_facts<D: Dialect, C: Clock>(node_context: NodeContext<D, C>) {
    let mut gossip = Gossip {
        node_context: node_context.clone(),
        peers: GossipPeers::default(),
        channels: PeerChannels::default(),
        sent: Sequences::default(),
    };
    let mut compare_at = Instant::now() + COMPARE_RETRY_INTERVAL;
    loop {
        tokio::select! {
            () = node_context.facts_learned() => {
                gossip.send_new_facts().await;
                sleep(SEND_INTERVAL).await;
            }
            () = sleep_until(compare_at) => {
                node_context.expire_crashes();
                let interval = if gossip.compare().await {
                    COMPARE_INTERVAL
                } else {
                    COMPARE_RETRY_INTERVAL
                };
                compare_at = Instant::now() + interval;
            }
        }
    }
}

struct Gossip<D, C> {
    node_context: NodeContext<D, C>,
    peers: GossipPeers,
    channels: PeerChannels,
    /// Facts up to these were sent.
    sent: Sequences,
}

impl<D: Dialect, C: Clock> Gossip<D, C> {
    /// Sends the facts learned since the last call to the neighbours.
    async fn send_new_facts(&mut self) {
        let now = self.node_context.now();
        let (facts, neighbours) = {
            let state = self.node_context.state();
            let facts = state.facts_since(self.sent, now);
            self.sent = state.fact_sequences();
            let own_name = self.node_context.settings().node.as_str();
            let neighbours = self.peers.neighbours(own_name, state.followable(), now);
            let addresses = neighbours.iter().map(|node| node.address.to_owned());
            let addresses: Vec<String> = addresses.collect();
            (facts, addresses)
        };
        if facts::is_empty(&facts) {
            return;
        }
        let mut sends = JoinSet::new();
        for address in neighbours {
            let Some(channel) = self.channels.get(&address) else {
                continue;
            };
            let facts = facts.clone();
            sends.spawn(async move { (address, call(channel, facts).await.is_some()) });
        }
        while let Some(sent) = sends.join_next().await {
            // A send that panicked is covered by the next comparison.
            if let Ok((address, has_answered)) = sent {
                self.record(&address, has_answered);
            }
        }
    }

    /// Compares all facts with those of one neighbour; returns whether it answered, or
    /// there is none.
    async fn compare(&mut self) -> bool {
        let now = self.node_context.now();
        let (address, question) = {
            let state = self.node_context.state();
            let own_name = self.node_context.settings().node.as_str();
            let Some(partner) = self.peers.partner(own_name, state.followable(), now) else {
                return true;
            };
            let question = wire::Facts {
                digest: state.fact_digest(),
                compare: true,
                ..wire::Facts::default()
            };
            (partner.address.to_owned(), question)
        };
        let Some(channel) = self.channels.get(&address) else {
            return false;
        };
        let Some(reply) = call(channel.clone(), question).await else {
            self.record(&address, false);
            return false;
        };
        self.node_context.merge_facts(&reply);
        let missing = self.node_context.facts_unless(reply.digest);
        if let Some(missing) = missing {
            call(channel, missing).await;
        }
        self.record(&address, true);
        true
    }

    fn record(&mut self, address: &str, has_answered: bool) {
        self.peers
            .record(address, has_answered, self.node_context.now());
        if !has_answered {
            self.channels.remove(address);
            tracing::debug!(event = "HH1264", address, "node did not take facts");
        }
    }
}

async fn call(channel: Channel, facts: wire::Facts) -> Option<wire::Facts> {
    let mut client = FeedClient::new(channel);
    let reply = timeout(EXCHANGE_TIMEOUT, client.exchange(facts)).await;
    Some(reply.ok()?.ok()?.into_inner())
}

impl<D: Dialect, C: Clock> NodeContext<D, C> {
    /// Merges the facts of another node; returns this node's, if they differ and the other
    /// one asks for them.
    pub(crate) fn answer_exchange(&self, received: &wire::Facts) -> wire::Facts {
        self.merge_facts(received);
        let missing = received
            .compare
            .then(|| self.facts_unless(received.digest))
            .flatten();
        missing.unwrap_or_else(|| wire::Facts {
            digest: self.state().fact_digest(),
            ..wire::Facts::default()
        })
    }

    /// Returns all facts, unless another node with this digest knows the same.
    fn facts_unless(&self, other_digest: u64) -> Option<wire::Facts> {
        let now = self.now();
        let state = self.state();
        let differs = state.fact_digest() != other_digest;
        differs.then(|| state.facts_since(Sequences::default(), now))
    }

    fn merge_facts(&self, received: &wire::Facts) {
        self.merge_evidence(&facts::evidence_from_wire(received));
        let rates = facts::statements_from_wire(&received.rates);
        let brittle = facts::statements_from_wire(&received.brittle);
        if rates.is_empty() && brittle.is_empty() {
            return;
        }
        let now = self.now();
        let mut state = self.state();
        let before = state.fact_sequences();
        state.fleet.named_rates.merge(&rates, now);
        state.fleet.brittleness.statements.merge(&brittle, now);
        let has_learned = state.fact_sequences() != before;
        drop(state);
        if has_learned {
            self.notify_facts_learned();
        }
    }
}
