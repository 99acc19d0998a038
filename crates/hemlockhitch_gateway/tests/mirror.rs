//! The copies of the store's content that nodes pass on to each other.

use std::collections::{BTreeMap, HashMap};

use fastrand::Rng;
use hemlockhitch_gateway::{Applied, Mirror};
use hemlockhitch_model::StorePosition;
use hemlockhitch_ports::key_value::{Entry, WatchBatch};

type Content = BTreeMap<String, Entry>;

/// A store that may return to a copy of its content.
#[derive(Clone, Debug)]
struct Store {
    position: StorePosition,
    content: Content,
    /// Revision and key of each change since `history_start`.
    history: Vec<(u64, String)>,
    history_start: u64,
    copy: (u64, Content),
    /// The content at each position of each epoch.
    contents: HashMap<StorePosition, Content>,
}

impl Store {
    fn new() -> Self {
        let position = StorePosition {
            epoch: 1,
            revision: 1,
        };
        Self {
            position,
            content: Content::new(),
            history: Vec::new(),
            history_start: 1,
            copy: (1, Content::new()),
            contents: HashMap::from([(position, Content::new())]),
        }
    }

    fn write(&mut self, key: String, value: Option<String>) {
        if value.is_none() && !self.content.contains_key(&key) {
            return;
        }
        self.position.revision += 1;
        self.history.push((self.position.revision, key.clone()));
        match value {
            Some(value) => {
                let entry = Entry {
                    key: key.clone(),
                    value,
                    version: self.position.revision,
                };
                self.content.insert(key, entry);
            }
            None => {
                self.content.remove(&key);
            }
        }
        self.contents.insert(self.position, self.content.clone());
    }

    fn keep_copy(&mut self) {
        self.copy = (self.position.revision, self.content.clone());
    }

    fn return_from_copy(&mut self) {
        let (revision, content) = self.copy.clone();
        self.position = StorePosition {
            epoch: self.position.epoch + 1,
            revision,
        };
        self.content = content;
        self.drop_history();
        self.contents.insert(self.position, self.content.clone());
    }

    fn drop_history(&mut self) {
        self.history.clear();
        self.history_start = self.position.revision;
    }

    fn list(&self) -> WatchBatch {
        WatchBatch {
            written: self.content.values().cloned().collect(),
            deleted: Vec::new(),
            complete: true,
            revision: self.position.revision,
            epoch: self.position.epoch,
        }
    }

    /// Returns the changes after a revision of whichever epoch.
    fn watch(&self, after: u64) -> WatchBatch {
        if after < self.history_start || after > self.position.revision {
            return self.list();
        }
        let changed = self.history.iter().filter(|(at, _)| *at > after);
        let mut changed: Vec<&String> = changed.map(|(_, key)| key).collect();
        changed.sort();
        changed.dedup();
        let (written, deleted): (Vec<&String>, Vec<&String>) = changed
            .into_iter()
            .partition(|key| self.content.contains_key(*key));
        WatchBatch {
            written: written
                .into_iter()
                .map(|key| self.content[key].clone())
                .collect(),
            deleted: deleted.into_iter().cloned().collect(),
            complete: false,
            revision: self.position.revision,
            epoch: self.position.epoch,
        }
    }
}

/// A node with an answer that is still on its way.
#[derive(Clone, Debug, Default)]
struct Node {
    mirror: Mirror,
    pending: Option<(WatchBatch, Option<StorePosition>)>,
    must_list: bool,
}

impl Node {
    fn ask_store(&mut self, store: &Store) {
        let revision = self.mirror.position().revision;
        let batch = if self.must_list || revision == 0 {
            store.list()
        } else {
            store.watch(revision)
        };
        self.pending = Some((batch, None));
    }

    fn ask_peer(&mut self, peer: &Mirror) {
        let position = self.mirror.position();
        if peer.position().revision > 0 {
            self.pending = Some((peer.changes_since(position), Some(position)));
        }
    }

    fn receive(&mut self) {
        if let Some((batch, since)) = self.pending.take() {
            let applied = self.mirror.apply(&batch, since);
            self.must_list = applied == Applied::Unrelated;
        }
    }

    fn content(&self) -> Content {
        let entries = self.mirror.entries().into_iter();
        entries.map(|entry| (entry.key.clone(), entry)).collect()
    }
}

/// Random writes, returns of the store, dropped histories, restarts of nodes and late
/// answers. At each step a node's content is exactly the store's at the node's position,
/// and no position moves back.
#[test]
fn store_epoch_content_of_each_node_is_that_of_its_position() {
    for seed in 0..400 {
        let mut rng = Rng::with_seed(seed);
        let mut store = Store::new();
        let mut nodes = vec![Node::default(); 4];
        for step in 0..300 {
            let index = rng.usize(0..nodes.len());
            let before = nodes[index].mirror.position();
            let mut restarted = false;
            match rng.u32(0..100) {
                0..20 => {
                    let key = format!("k{}", rng.u32(0..8));
                    let value = rng.bool().then(|| format!("{step}"));
                    store.write(key, value);
                }
                20..24 => store.keep_copy(),
                24..27 => store.return_from_copy(),
                27..29 => store.drop_history(),
                29..31 => {
                    nodes[index] = Node::default();
                    restarted = true;
                }
                31..45 => nodes[index].ask_store(&store),
                45..70 => {
                    let peer = nodes[rng.usize(0..nodes.len())].mirror.clone();
                    nodes[index].ask_peer(&peer);
                }
                _ => nodes[index].receive(),
            }
            let position = nodes[index].mirror.position();
            assert!(restarted || position >= before, "seed {seed}, step {step}");
            if position.revision > 0 {
                assert_eq!(
                    Some(&nodes[index].content()),
                    store.contents.get(&position),
                    "seed {seed}, step {step}, node {index} at {position:?}"
                );
            }
        }
        for node in &mut nodes {
            for _ in 0..3 {
                node.ask_store(&store);
                node.receive();
            }
            assert_eq!(node.content(), store.content, "seed {seed}");
            assert_eq!(node.mirror.position(), store.position, "seed {seed}");
        }
    }
}

fn batch(epoch: u64, revision: u64, written: &[(&str, u64)]) -> WatchBatch {
    let written = written.iter().map(|(key, version)| Entry {
        key: (*key).to_owned(),
        value: format!("{key} of epoch {epoch}"),
        version: *version,
    });
    WatchBatch {
        written: written.collect(),
        deleted: Vec::new(),
        complete: true,
        revision,
        epoch,
    }
}

#[test]
fn store_epoch_answer_of_an_earlier_epoch_is_dropped() {
    let mut mirror = Mirror::default();
    mirror.apply(&batch(2, 50, &[("a", 40)]), None);
    let applied = mirror.apply(&batch(1, 900, &[("a", 900)]), None);
    assert_eq!(applied, Applied::Outdated);
    assert_eq!(mirror.get("a").map(|entry| entry.version), Some(40));
}

/// The store's revisions were given out again, so changes after a revision of the
/// earlier epoch leave out others.
#[test]
fn store_epoch_changes_after_a_revision_of_an_earlier_epoch_are_not_applied() {
    let mut mirror = Mirror::default();
    mirror.apply(&batch(1, 50, &[("a", 40)]), None);
    let changes = WatchBatch {
        complete: false,
        ..batch(2, 60, &[("b", 55)])
    };
    assert_eq!(mirror.apply(&changes, None), Applied::Unrelated);
    assert!(mirror.get("b").is_none());
    assert_eq!(mirror.position().epoch, 1);
}

/// All followers ask at once after a return. One that knew everything before gets the
/// differences; with complete copies, a hub of 340 nodes would send the whole content
/// 113 times.
#[test]
fn store_epoch_followers_get_the_differences_only() {
    let names: Vec<String> = (0..1_000).map(|index| format!("servers/{index}")).collect();
    let entries: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 7)).collect();
    let mut hub = Mirror::default();
    let old = batch(1, 50, &entries);
    hub.apply(&old, None);
    let mut follower = Mirror::default();
    follower.apply(
        &hub.changes_since(StorePosition::default()),
        Some(StorePosition::default()),
    );
    let position = follower.position();
    let restored = WatchBatch {
        written: old.written[1..].to_vec(),
        epoch: 2,
        revision: 48,
        ..old
    };
    hub.apply(&restored, None);
    let reply = hub.changes_since(position);
    assert_eq!((reply.written.len(), reply.deleted.len()), (0, 1));
    let applied = follower.apply(&reply, Some(position));
    assert!(matches!(
        applied,
        Applied::Changed {
            began_epoch: true,
            ..
        }
    ));
    assert_eq!(follower.position(), hub.position());
    assert_eq!(follower.entries(), hub.entries());
}
