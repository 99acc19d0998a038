//! A simulated fleet whose nodes exchange facts, without a store.

use std::collections::BTreeMap;
use std::rc::Rc;

use hemlockhitch_model::mix;
use hemlockhitch_routing::gossip::{GossipPeers, SharedFacts};
use hemlockhitch_routing::source::FollowableNode;

use super::at;

/// Time after a cut or a start from which a node counts as being in touch, in
/// milliseconds.
pub const CONTACT_MS: u64 = 3_000;

/// Length of a step of the simulation, in milliseconds.
pub const TICK_MS: u64 = 5;

/// When nodes start again, in milliseconds.
const RESTART_MS: u64 = 5_000;

/// When a cut ends, in milliseconds.
const CUT_END_MS: u64 = 6_000;

const COMPARE_INTERVAL_MS: u64 = 1_000;
const COMPARE_RETRY_INTERVAL_MS: u64 = 200;
const SEND_INTERVAL_MS: u64 = 30;

/// Size of a message without its facts, and of a fact on the wire, in bytes.
const MESSAGE_BYTES: usize = 100;
const FACT_BYTES: usize = 48;

/// What happens to a third of the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// They reach endpoints and callers, but no other node, until 6 s.
    CutOff,
    /// They start again at 5 s and know nothing.
    Restart,
    /// They are gone from the start, and still listed.
    Gone,
}

impl Trouble {
    pub const ALL: [Self; 4] = [Self::None, Self::CutOff, Self::Restart, Self::Gone];
}

pub struct Node<T> {
    name: String,
    address: String,
    pub facts: T,
    peers: GossipPeers,
    sent_sequence: u64,
    next_send_ms: u64,
    next_compare_ms: u64,
    sent_bytes_by_s: BTreeMap<u64, usize>,
}

impl<T: Default> Node<T> {
    fn new(index: usize, next_compare_ms: u64) -> Self {
        Self {
            name: format!("node-{index}"),
            address: index.to_string(),
            facts: T::default(),
            peers: GossipPeers::default(),
            sent_sequence: 0,
            next_send_ms: 0,
            next_compare_ms,
            sent_bytes_by_s: BTreeMap::new(),
        }
    }
}

enum Message<F> {
    New(F),
    Question {
        from: usize,
        digest: u64,
    },
    Reply {
        from: usize,
        digest: u64,
        facts: Option<F>,
    },
}

/// Messages with their receivers, by time of delivery and number.
type Queue<F> = BTreeMap<(u64, u64), (usize, Message<F>)>;

pub struct Network<T: SharedFacts> {
    pub nodes: Vec<Node<T>>,
    /// Names and addresses of all nodes.
    names: Rc<Vec<(String, String)>>,
    messages: Queue<T::Facts>,
    trouble: Trouble,
    draws: u64,
    /// Returns the number of facts in a message.
    fact_count: fn(&T::Facts) -> usize,
}

impl<T: SharedFacts + Default> Network<T>
where
    T::Facts: Clone + Default,
{
    pub fn new(count: usize, trouble: Trouble, fact_count: fn(&T::Facts) -> usize) -> Self {
        let nodes =
            (0..count).map(|index| Node::new(index, mix(index as u64, 5) % COMPARE_INTERVAL_MS));
        let nodes: Vec<Node<T>> = nodes.collect();
        let names = nodes
            .iter()
            .map(|node| (node.name.clone(), node.address.clone()));
        Self {
            names: Rc::new(names.collect()),
            nodes,
            messages: BTreeMap::new(),
            trouble,
            draws: 0,
            fact_count,
        }
    }

    /// Returns a number that is smaller than `below`.
    pub fn draw(&mut self, below: usize) -> usize {
        self.draws += 1;
        let draw = mix(self.draws, 77) % below as u64;
        usize::try_from(draw).expect("an index")
    }

    /// Returns a number that was not returned before.
    pub fn next_id(&mut self) -> u64 {
        self.draws += 1;
        self.draws
    }

    /// Returns a node that runs.
    pub fn draw_node(&mut self) -> usize {
        loop {
            let node = self.draw(self.nodes.len());
            if !self.is_gone(node) {
                return node;
            }
        }
    }

    fn is_troubled(node: usize) -> bool {
        node % 3 == 2
    }

    pub fn is_gone(&self, node: usize) -> bool {
        self.trouble == Trouble::Gone && Self::is_troubled(node)
    }

    /// Returns whether a node has been in touch with the others for long enough.
    pub fn is_in_touch(&self, node: usize, now_ms: u64) -> bool {
        if !Self::is_troubled(node) {
            return true;
        }
        match self.trouble {
            Trouble::None => true,
            Trouble::CutOff => now_ms >= CUT_END_MS + CONTACT_MS,
            Trouble::Restart => !(RESTART_MS..RESTART_MS + CONTACT_MS).contains(&now_ms),
            Trouble::Gone => false,
        }
    }

    fn can_reach(&self, a: usize, b: usize, now_ms: u64) -> bool {
        let is_cut = |node| self.trouble == Trouble::CutOff && Self::is_troubled(node);
        let has_healed = now_ms >= CUT_END_MS;
        !self.is_gone(a) && !self.is_gone(b) && (has_healed || !(is_cut(a) || is_cut(b)))
    }

    fn send(&mut self, from: usize, to: usize, message: Message<T::Facts>, now_ms: u64) {
        let facts = match &message {
            Message::New(facts)
            | Message::Reply {
                facts: Some(facts), ..
            } => (self.fact_count)(facts),
            Message::Question { .. } | Message::Reply { .. } => 0,
        };
        self.draws += 1;
        let key = (now_ms + 2 + mix(self.draws, 3) % 20, self.draws);
        let second = self.nodes[from].sent_bytes_by_s.entry(now_ms / 1_000);
        *second.or_default() += MESSAGE_BYTES + facts * FACT_BYTES;
        self.messages.insert(key, (to, message));
    }

    /// Starts all nodes again; they know nothing, and messages under way are lost.
    pub fn restart_all(&mut self, now_ms: u64) {
        self.messages.clear();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            *node = Node::new(index, now_ms + COMPARE_RETRY_INTERVAL_MS);
        }
    }

    /// Plays one step.
    pub fn step(&mut self, now_ms: u64) {
        if now_ms == RESTART_MS && self.trouble == Trouble::Restart {
            for index in (0..self.nodes.len()).filter(|index| Self::is_troubled(*index)) {
                self.nodes[index] = Node::new(index, now_ms + COMPARE_RETRY_INTERVAL_MS);
            }
        }
        self.deliver(now_ms);
        for from in 0..self.nodes.len() {
            if !self.is_gone(from) {
                self.gossip(from, now_ms);
            }
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let now = at(now_ms);
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= now_ms
        {
            let (to, message) = entry.remove();
            let known = &mut self.nodes[to].facts;
            match message {
                Message::New(facts) => known.merge(&facts, now),
                Message::Question { from, digest } => {
                    let own_digest = known.digest();
                    let reply = Message::Reply {
                        from: to,
                        digest: own_digest,
                        facts: (own_digest != digest).then(|| known.facts_since(0, now)),
                    };
                    self.send(to, from, reply, now_ms);
                }
                Message::Reply {
                    from,
                    digest,
                    facts,
                } => {
                    known.merge(&facts.unwrap_or_default(), now);
                    if known.digest() != digest {
                        let missing = Message::New(known.facts_since(0, now));
                        self.send(to, from, missing, now_ms);
                    }
                }
            }
        }
    }

    fn gossip(&mut self, from: usize, now_ms: u64) {
        let now = at(now_ms);
        let names = Rc::clone(&self.names);
        let listed = || {
            names.iter().map(|(name, address)| FollowableNode {
                name,
                address,
                data_centre: "a",
                capacity: 1,
            })
        };
        let index = |node: &FollowableNode<'_>| node.address.parse().expect("an index");
        let node = &mut self.nodes[from];
        let mut sends: Vec<(usize, Option<T::Facts>)> = Vec::new();
        if node.facts.sequence() > node.sent_sequence && now_ms >= node.next_send_ms {
            let facts = node.facts.facts_since(node.sent_sequence, now);
            node.sent_sequence = node.facts.sequence();
            node.next_send_ms = now_ms + SEND_INTERVAL_MS;
            let neighbours = node.peers.neighbours(&node.name, listed(), now);
            sends.extend(
                neighbours
                    .iter()
                    .map(|node| (index(node), Some(facts.clone()))),
            );
        }
        if now_ms >= node.next_compare_ms {
            node.next_compare_ms = now_ms + COMPARE_INTERVAL_MS;
            let partner = node.peers.partner(&node.name, listed(), now);
            sends.extend(partner.map(|partner| (index(&partner), None)));
        }
        for (to, facts) in sends {
            let can_reach = self.can_reach(from, to, now_ms);
            let node = &mut self.nodes[from];
            node.peers.record(&to.to_string(), can_reach, now);
            match facts {
                _ if !can_reach => {
                    node.next_compare_ms = now_ms + COMPARE_RETRY_INTERVAL_MS;
                }
                Some(facts) => self.send(from, to, Message::New(facts), now_ms),
                None => {
                    let digest = node.facts.digest();
                    self.send(from, to, Message::Question { from, digest }, now_ms);
                }
            }
        }
    }

    /// Returns how many nodes know other facts than the first one.
    pub fn differing_nodes(&self) -> usize {
        let running = (0..self.nodes.len()).filter(|index| !self.is_gone(*index));
        let digests: Vec<u64> = running
            .map(|index| self.nodes[index].facts.digest())
            .collect();
        digests
            .iter()
            .filter(|digest| **digest != digests[0])
            .count()
    }

    /// Returns the most bytes that a node sent in a second.
    pub fn max_bytes_per_s(&self) -> usize {
        let bytes = self
            .nodes
            .iter()
            .flat_map(|node| node.sent_bytes_by_s.values());
        bytes.max().copied().unwrap_or_default()
    }
}
