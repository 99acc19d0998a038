//! Selection of the source from which a node follows the store.
//!
//! The nodes of a data centre follow one of them, the hub. The hubs follow one of them,
//! and that one asks the store. The selection is made for a fleet of hundreds of nodes
//! whose store drops its history, turns some nodes away or is down: the number of nodes
//! that ask the store then grows with the number of data centres. The nodes ranked next
//! to a hub, its deputies, replace it. Other nodes ask a hub of another data centre, and
//! the store only before their knowledge is too old to serve requests.

mod start;

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use hemlockhitch_model::{Now, hash_bytes, mix};
use start::StartSources;

/// Number of nodes of a data centre that ask the store as soon as every node ranked
/// before them has failed.
const DEPUTY_COUNT: usize = 4;

/// Maximum number of reachable nodes of its own data centre that a node asks.
const MAX_CANDIDATES: usize = 3;

/// Maximum number of hubs of other data centres that a node asks.
const MAX_REMOTE_HUBS: usize = 2;

/// How long an unreachable node is not asked, in milliseconds: until a short disruption
/// is over.
const UNREACHABLE_COOLDOWN_MS: u64 = 3_000;

/// The same while the asking node has just started, in milliseconds: all nodes may have
/// started together.
const START_COOLDOWN_MS: u64 = 250;

/// How long a node with outdated knowledge is not asked, in milliseconds: about the time
/// in which it finds another source.
const STALE_COOLDOWN_MS: u64 = 600;

/// Unreachable nodes in a row after which the store is asked: a large part of the fleet
/// may have failed with them.
const MAX_UNREACHABLE_IN_A_ROW: u32 = 3;

/// How long the store is then followed, in milliseconds.
const STORE_FALLBACK_MS: u64 = 1_000;

/// Age of its knowledge at which any node asks the store itself, in milliseconds.
const SELF_HELP_AGE_MS: u64 = 1_200;

/// Range over which nodes are spread beyond [`SELF_HELP_AGE_MS`], in milliseconds, so
/// that most of them learn from those that ask first.
const SELF_HELP_SPREAD_MS: u64 = 500;

/// Time after the start for which a node gives each node ranked before it to load the
/// store's content, in milliseconds.
const START_STAGGER_MS: u64 = 250;

/// Rank from which the stagger at the start no longer grows.
const MAX_STAGGERED_RANK: usize = 4;

/// Shortest and longest pause of a hub after a failed call of the store, in
/// milliseconds.
const HUB_BACKOFF_MS: (u64, u64) = (100, 800);

/// The same of a deputy.
const DEPUTY_BACKOFF_MS: (u64, u64) = (200, 1_600);

/// The same of any other node, which learns of the store's return from its hub.
const BACKOFF_MS: (u64, u64) = (1_600, 6_400);

/// Shortest wait when no source may be asked, in milliseconds.
const MIN_WAIT_MS: u64 = 20;

/// A registered node that can be followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowableNode<'a> {
    /// The node's name.
    pub name: &'a str,
    /// Address at which the node serves the feed, `ip:port`.
    pub address: &'a str,
    /// The data centre of the node.
    pub data_centre: &'a str,
    /// Capacity for work on behalf of other nodes, compared with theirs.
    pub capacity: u32,
}

impl FollowableNode<'_> {
    /// The order in which the nodes of a data centre are followed; the same on all nodes.
    fn rank_key(&self) -> (Reverse<u32>, u64) {
        let tie_break = mix(hash_bytes(self.name), hash_bytes(self.data_centre));
        (Reverse(self.capacity), tie_break)
    }
}

/// The source that a node asks next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// A node, at this address.
    Peer {
        /// Address of the node's feed, `ip:port`.
        address: String,
        /// Whether the node belongs to the same data centre.
        is_local: bool,
        /// Whether the node is to reply at once, with what it knows.
        is_immediate: bool,
    },
    /// Nothing for this time, in milliseconds.
    Wait(u64),
}

/// How long a source is not asked.
#[derive(Clone, Copy, Debug)]
struct Cooldown {
    until_mono_ms: u64,
    is_reachable: bool,
}

/// Selects sources and remembers which of them failed.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    node: String,
    data_centre: String,
    capacity: u32,
    started_mono_ms: u64,
    cooldowns: HashMap<String, Cooldown>,
    rank: usize,
    store_failures_in_a_row: u32,
    store_cooldown_until_mono_ms: u64,
    store_fallback_until_mono_ms: u64,
    failures_in_a_row: u32,
    unreachable_in_a_row: u32,
    start_sources: StartSources,
}

impl SourceSelector {
    /// Creates the selector of a node that starts at `now`.
    #[must_use]
    pub fn new(own: FollowableNode<'_>, now: Now) -> Self {
        Self {
            node: own.name.to_owned(),
            data_centre: own.data_centre.to_owned(),
            capacity: own.capacity,
            started_mono_ms: now.mono_ms,
            cooldowns: HashMap::new(),
            rank: 0,
            store_failures_in_a_row: 0,
            store_cooldown_until_mono_ms: 0,
            store_fallback_until_mono_ms: 0,
            failures_in_a_row: 0,
            unreachable_in_a_row: 0,
            start_sources: StartSources::default(),
        }
    }

    /// Selects the next source. `age_ms` is the age of the node's knowledge; `None` if
    /// it has none.
    #[must_use]
    pub fn select<'a>(
        &mut self,
        nodes: impl Iterator<Item = FollowableNode<'a>>,
        age_ms: Option<u64>,
        now: Now,
    ) -> Source {
        let may_ask_store = now.mono_ms >= self.store_cooldown_until_mono_ms;
        if now.mono_ms < self.store_fallback_until_mono_ms && may_ask_store {
            return Source::Store;
        }
        let (local, remote): (Vec<_>, Vec<_>) = nodes
            .filter(|node| node.name != self.node)
            .partition(|node| node.data_centre == self.data_centre);
        let hubs = hubs_of(remote);
        let has_knowledge = age_ms.is_some();
        let mut others = if has_knowledge {
            Vec::new()
        } else {
            local.clone()
        };
        let local_ahead = self.ranked_ahead(local);
        let rank = local_ahead.len();
        self.rank = rank;
        let is_hub = rank == 0;
        let ahead = if is_hub {
            self.ranked_ahead(hubs.clone())
        } else {
            local_ahead
        };
        let candidates: Vec<_> = ahead
            .into_iter()
            .filter(|node| self.is_reachable(node.address, now))
            .take(MAX_CANDIDATES)
            .collect();
        if let Some(peer) = self.first_ready(candidates.iter().copied(), now) {
            if !has_knowledge {
                self.start_sources.record(peer.address);
            }
            return peer_source(peer, !is_hub);
        }
        let patience_end_mono_ms = self.start_patience_end_mono_ms(rank);
        let is_patient = !has_knowledge && now.mono_ms < patience_end_mono_ms;
        let may_ask_store = may_ask_store && !is_patient;
        if may_ask_store && !has_knowledge {
            others.sort_by_key(FollowableNode::rank_key);
            let hubs = self.shuffled(hubs.clone());
            let since_due_ms = now.mono_ms.saturating_sub(patience_end_mono_ms);
            if let Some(peer) = self.start_sources.next(&others, &hubs, since_due_ms) {
                self.start_sources.record(peer.address);
                return Source::Peer {
                    address: peer.address.to_owned(),
                    is_local: peer.data_centre == self.data_centre,
                    is_immediate: true,
                };
            }
        }
        if rank < DEPUTY_COUNT && may_ask_store {
            return Source::Store;
        }
        if let Some(hub) = self.first_ready(self.shuffled(hubs).into_iter(), now) {
            return peer_source(hub, false);
        }
        let needs_store = age_ms.is_none_or(|age_ms| age_ms >= self.self_help_age_ms());
        if may_ask_store && (needs_store || candidates.is_empty()) {
            return Source::Store;
        }
        Source::Wait(self.next_event_ms(candidates.into_iter(), now))
    }

    /// Records that a node had recent knowledge.
    pub fn record_success(&mut self, address: &str) {
        self.failures_in_a_row = 0;
        self.unreachable_in_a_row = 0;
        self.cooldowns.remove(address);
    }

    /// Records that the store answered.
    pub fn record_store_success(&mut self) {
        self.failures_in_a_row = 0;
        self.unreachable_in_a_row = 0;
        self.store_failures_in_a_row = 0;
        self.store_cooldown_until_mono_ms = 0;
    }

    /// Records that a node answered, but does not know the store's recent content.
    pub fn record_stale(&mut self, address: &str, now: Now) {
        self.failures_in_a_row += 1;
        self.unreachable_in_a_row = 0;
        self.add_cooldown(address, STALE_COOLDOWN_MS, true, now);
    }

    /// Records that a node did not answer. `has_knowledge` is whether the asking node
    /// knows the store's content.
    pub fn record_unreachable(&mut self, address: &str, has_knowledge: bool, now: Now) {
        self.failures_in_a_row += 1;
        if !has_knowledge {
            self.add_cooldown(address, START_COOLDOWN_MS, true, now);
            return;
        }
        self.add_cooldown(address, UNREACHABLE_COOLDOWN_MS, false, now);
        self.unreachable_in_a_row += 1;
        if self.unreachable_in_a_row >= MAX_UNREACHABLE_IN_A_ROW {
            self.unreachable_in_a_row = 0;
            self.store_fallback_until_mono_ms = now.mono_ms + STORE_FALLBACK_MS;
        }
    }

    /// Records that a node has no bandwidth left for its reply. The store is followed for a
    /// while: the node's other followers may take long to load the same change from it.
    pub fn record_overloaded(&mut self, now: Now) {
        self.store_fallback_until_mono_ms = now.mono_ms + STORE_FALLBACK_MS;
    }

    /// Records that the store did not answer. It is not asked for a while that grows with
    /// each failure and is longer for nodes on which fewer others depend.
    pub fn record_store_failure(&mut self, now: Now) {
        let (shortest_ms, longest_ms) = match self.rank {
            0 => HUB_BACKOFF_MS,
            1..DEPUTY_COUNT => DEPUTY_BACKOFF_MS,
            _ => BACKOFF_MS,
        };
        let pause_ms = (shortest_ms << self.store_failures_in_a_row.min(8)).min(longest_ms);
        self.store_failures_in_a_row += 1;
        let draw = mix(hash_bytes(&self.node), now.mono_ms);
        let jitter_ms = draw % (pause_ms / 2).max(1);
        self.store_cooldown_until_mono_ms = now.mono_ms + pause_ms - jitter_ms;
    }

    /// Returns whether the last source failed. The next node is then asked for an
    /// immediate reply.
    #[must_use]
    pub fn is_searching(&self) -> bool {
        self.failures_in_a_row > 0
    }

    /// Returns the nodes ranked before this one, in their order.
    fn ranked_ahead<'a>(&self, mut nodes: Vec<FollowableNode<'a>>) -> Vec<FollowableNode<'a>> {
        let own = FollowableNode {
            name: &self.node,
            address: "",
            data_centre: &self.data_centre,
            capacity: self.capacity,
        };
        let own_key = own.rank_key();
        nodes.retain(|node| node.rank_key() < own_key);
        nodes.sort_by_key(FollowableNode::rank_key);
        nodes
    }

    /// Returns a few hubs in an order of this node's own.
    fn shuffled<'a>(&self, mut hubs: Vec<FollowableNode<'a>>) -> Vec<FollowableNode<'a>> {
        let own_hash = hash_bytes(&self.node);
        hubs.sort_by_key(|hub| mix(own_hash, hash_bytes(hub.data_centre)));
        hubs.truncate(MAX_REMOTE_HUBS);
        hubs
    }

    fn first_ready<'a>(
        &self,
        mut nodes: impl Iterator<Item = FollowableNode<'a>>,
        now: Now,
    ) -> Option<FollowableNode<'a>> {
        nodes.find(|node| {
            let cooldown = self.cooldowns.get(node.address);
            cooldown.is_none_or(|cooldown| now.mono_ms >= cooldown.until_mono_ms)
        })
    }

    fn is_reachable(&self, address: &str, now: Now) -> bool {
        let cooldown = self.cooldowns.get(address);
        cooldown
            .is_none_or(|cooldown| cooldown.is_reachable || now.mono_ms >= cooldown.until_mono_ms)
    }

    fn start_patience_end_mono_ms(&self, rank: usize) -> u64 {
        let staggered_rank = rank.min(MAX_STAGGERED_RANK) as u64;
        self.started_mono_ms + staggered_rank * START_STAGGER_MS
    }

    fn self_help_age_ms(&self) -> u64 {
        SELF_HELP_AGE_MS + hash_bytes(&self.node) % SELF_HELP_SPREAD_MS
    }

    /// Returns the time until a local candidate or the store may be asked again.
    fn next_event_ms<'a>(
        &self,
        candidates: impl Iterator<Item = FollowableNode<'a>>,
        now: Now,
    ) -> u64 {
        let ready = candidates
            .filter_map(|node| self.cooldowns.get(node.address))
            .map(|cooldown| cooldown.until_mono_ms);
        let ready = ready.chain([self.store_cooldown_until_mono_ms]);
        let next_mono_ms = ready.filter(|at| *at > now.mono_ms).min();
        next_mono_ms.map_or(MIN_WAIT_MS, |at| (at - now.mono_ms).max(MIN_WAIT_MS))
    }

    fn add_cooldown(&mut self, address: &str, cooldown_ms: u64, is_reachable: bool, now: Now) {
        self.cooldowns
            .retain(|_, cooldown| now.mono_ms < cooldown.until_mono_ms);
        let cooldown = Cooldown {
            until_mono_ms: now.mono_ms + cooldown_ms,
            is_reachable,
        };
        self.cooldowns.insert(address.to_owned(), cooldown);
    }
}

/// Returns the node of each data centre that is ranked first.
fn hubs_of(nodes: Vec<FollowableNode<'_>>) -> Vec<FollowableNode<'_>> {
    let mut hubs: BTreeMap<&str, FollowableNode<'_>> = BTreeMap::new();
    for node in nodes {
        let hub = hubs.entry(node.data_centre).or_insert(node);
        if node.rank_key() < hub.rank_key() {
            *hub = node;
        }
    }
    hubs.into_values().collect()
}

fn peer_source(node: FollowableNode<'_>, is_local: bool) -> Source {
    Source::Peer {
        address: node.address.to_owned(),
        is_local,
        is_immediate: false,
    }
}
