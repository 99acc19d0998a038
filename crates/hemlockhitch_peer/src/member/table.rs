//! The table of members and the rules by which news changes it.

use std::collections::HashMap;

use hemlockhitch_model::{NodeName, Now};
use hemlockhitch_platform::vm_list::Vm;

use super::{Health, Identity, Member, MemberState, NodeId, Status};
use crate::hash::{combine, hash_text, rendezvous};

/// How many messages repeat an entry after it changed.
const NEWS_REPEATS: u8 = 12;

/// How long a dead member that the VM list does not name is remembered, so
/// that old news does not bring it back, in milliseconds.
const TOMBSTONE_MS: u64 = 600_000;

/// Which live members have a generation in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// Members that have it in force.
    pub confirmed: Vec<NodeName>,
    /// Members that are waited for.
    pub waiting: Vec<NodeName>,
    /// Whether nobody is waited for.
    pub accepted: bool,
}

/// Every member that this node knows, itself included.
#[derive(Debug)]
pub(crate) struct MemberTable {
    own_id: NodeId,
    suspicion_ms: u64,
    rows: HashMap<NodeId, Row>,
}

#[derive(Debug)]
struct Row {
    member: Member,
    /// When the health last changed, on the monotonic clock.
    health_since_ms: u64,
    /// How many more messages repeat the entry as news.
    news: u8,
}

impl MemberTable {
    /// Creates the table of a node that knows only itself.
    pub(crate) fn new(own: Identity, incarnation: u64, suspicion_ms: u64) -> Self {
        let own_id = NodeId::of(&own.name);
        let status = Status {
            incarnation,
            heartbeat: 0,
            state: MemberState::Joining,
            health: Health::Alive,
            generation: 0,
        };
        let member = Member {
            identity: own,
            status: Some(status),
            listed: false,
            leaving: false,
        };
        let row = Row {
            member,
            health_since_ms: 0,
            news: NEWS_REPEATS,
        };
        Self {
            own_id,
            suspicion_ms,
            rows: HashMap::from([(own_id, row)]),
        }
    }

    /// Returns this node's own entry.
    pub(crate) fn own(&self) -> &Member {
        &self.rows[&self.own_id].member
    }

    /// Returns this node's own state.
    pub(crate) fn own_state(&self) -> MemberState {
        self.own()
            .status
            .map_or(MemberState::Joining, |status| status.state)
    }

    /// Returns the generation that this node has told to have in force.
    pub(crate) fn own_generation(&self) -> u64 {
        self.own().status.map_or(0, |status| status.generation)
    }

    pub(crate) fn get(&self, id: NodeId) -> Option<&Member> {
        self.rows.get(&id).map(|row| &row.member)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.rows.values().map(|row| &row.member)
    }

    /// Counts one more exchange interval and judges suspicions.
    pub(crate) fn tick(&mut self, now: Now) {
        self.update_own(|status| status.heartbeat += 1);
        self.judge_suspicions(now);
        self.rows.retain(|_, row| !row.is_forgotten(now));
    }

    fn judge_suspicions(&mut self, now: Now) {
        for row in self.rows.values_mut() {
            row.expire_suspicion(self.suspicion_ms, now);
        }
    }

    /// Sets this node's state; a state never goes back.
    pub(crate) fn set_own_state(&mut self, state: MemberState) {
        self.update_own(|status| status.state = status.state.max(state));
        self.own_row().news = NEWS_REPEATS;
    }

    /// Sets the generation that this node has in force.
    pub(crate) fn set_own_generation(&mut self, generation: u64) {
        self.update_own(|status| status.generation = status.generation.max(generation));
        self.own_row().news = NEWS_REPEATS;
    }

    /// Takes in the VM list.
    pub(crate) fn list_vms(&mut self, vms: &[Vm]) {
        for row in self.rows.values_mut() {
            row.member.listed = false;
        }
        for vm in vms {
            let identity = Identity {
                name: vm.name.clone(),
                address: vm.peer_address.clone(),
                data_centre: vm.data_centre.clone(),
            };
            let row = self.row_of(&identity);
            if row.member.status.is_none() {
                row.member.identity = identity;
            }
            row.member.listed = true;
            row.member.leaving = vm.leaving;
        }
    }

    /// Takes in a member's whole entry; an old one does not move the member.
    pub(crate) fn describe(&mut self, identity: Identity, status: Option<Status>, now: Now) {
        let id = NodeId::of(&identity.name);
        let incarnation = status.map_or(0, |status| status.incarnation);
        if id != self.own_id {
            let row = self.row_of(&identity);
            if incarnation >= row.incarnation() {
                row.member.identity = identity;
            }
        }
        if let Some(status) = status {
            self.merge(id, status, now);
        }
    }

    /// Takes in news of a member; returns whether the member is known.
    pub(crate) fn merge(&mut self, id: NodeId, news: Status, now: Now) -> bool {
        if id == self.own_id {
            self.answer_news_of_self(news);
            return true;
        }
        let Some(row) = self.rows.get_mut(&id) else {
            return false;
        };
        row.merge(news, now);
        true
    }

    /// Records that a member could not be reached.
    pub(crate) fn suspect(&mut self, id: NodeId, now: Now) {
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        let Some(status) = row.member.status.as_mut() else {
            return;
        };
        if status.health == Health::Alive && status.state != MemberState::Gone {
            status.health = Health::Suspect;
            row.health_since_ms = now.mono_ms;
            row.news = NEWS_REPEATS;
            tracing::info!(event = "HH0601", node = %row.member.identity.name, "member suspected");
        }
    }

    /// Chooses entries for one message: first those that `peer` must refute,
    /// then news, then a random sample.
    pub(crate) fn sample(&mut self, peer: NodeId, count: usize) -> Vec<(NodeId, Status)> {
        let mut candidates: Vec<(u8, u32, NodeId)> = self
            .rows
            .iter()
            .filter(|(id, row)| **id != self.own_id && row.is_told(**id == peer))
            .map(|(id, row)| {
                let priority = if *id == peer { u8::MAX } else { row.news };
                (priority, fastrand::u32(..), *id)
            })
            .collect();
        candidates.sort_unstable_by(|left, right| right.cmp(left));
        candidates.truncate(count);
        candidates
            .into_iter()
            .filter_map(|(_, _, id)| self.tell(id).map(|status| (id, status)))
            .collect()
    }

    fn tell(&mut self, id: NodeId) -> Option<Status> {
        let row = self.rows.get_mut(&id)?;
        row.news = row.news.saturating_sub(1);
        row.member.status
    }

    /// Chooses up to `count` members to call: live ones, those that only the VM
    /// list names, and now and then a dead one that the VM list still names.
    pub(crate) fn targets(&self, count: usize) -> Vec<(NodeId, String)> {
        let mut others: Vec<&Member> = self
            .iter()
            .filter(|member| member.id() != self.own_id && member.is_callable())
            .collect();
        fastrand::shuffle(&mut others);
        others
            .into_iter()
            .take(count)
            .map(|member| (member.id(), member.identity.address.clone()))
            .collect()
    }

    /// Chooses up to `count` live members that have an older generation.
    pub(crate) fn lagging(&self, generation: u64, count: usize) -> Vec<(NodeId, String)> {
        let mut lagging: Vec<&Member> = self
            .iter()
            .filter(|member| member.id() != self.own_id && member.is_live())
            .filter(|member| {
                member
                    .status
                    .is_some_and(|status| status.generation < generation)
            })
            .collect();
        fastrand::shuffle(&mut lagging);
        lagging
            .into_iter()
            .take(count)
            .map(|member| (member.id(), member.identity.address.clone()))
            .collect()
    }

    /// Returns whether this node is one of the `watchers` nodes of its data
    /// centre that follow the store.
    pub(crate) fn is_watcher(&self, watchers: usize) -> bool {
        let own = self.own();
        let key = hash_text(own.identity.data_centre.as_str());
        let own_weight = combine(key, self.own_id.0);
        let ahead = self
            .iter()
            .filter(|member| member.identity.data_centre == own.identity.data_centre)
            .filter(|member| member.may_own() && member.is_alive())
            .filter(|member| member.id() != self.own_id)
            .filter(|member| combine(key, member.id().0) > own_weight)
            .count();
        ahead < watchers
    }

    /// Returns the newest generation that a live member has in force.
    pub(crate) fn newest_generation(&self) -> u64 {
        self.iter()
            .filter(|member| member.is_live())
            .filter_map(|member| member.status)
            .map(|status| status.generation)
            .max()
            .unwrap_or_default()
    }

    /// Returns the member that should own what hashes to `key`.
    pub(crate) fn desired_owner(&self, key: u64) -> Option<NodeId> {
        let candidates = self.iter().filter(|member| member.may_own());
        rendezvous(key, candidates.map(Member::id), |id| id.0)
    }

    /// Says which members have a generation in force and which are waited for.
    ///
    /// A dead member is waited for only when another listed member fell silent
    /// as well: both may be in a group that still hears itself.
    pub(crate) fn in_force(&mut self, generation: u64, now: Now) -> InForce {
        self.judge_suspicions(now);
        let group_may_live = self.iter().filter(|member| member.is_silent()).count() > 1;
        let mut answer = InForce::default();
        for member in self.iter() {
            let Some(status) = member.status else {
                continue;
            };
            let name = member.identity.name.clone();
            let joining = status.state == MemberState::Joining;
            if member.is_live() && status.generation >= generation {
                answer.confirmed.push(name);
            } else if member.is_live() && !joining || member.is_silent() && group_may_live {
                answer.waiting.push(name);
            }
        }
        answer.confirmed.sort();
        answer.waiting.sort();
        answer.accepted = answer.waiting.is_empty();
        answer
    }

    /// Refutes a suspicion of this node, or outlives a former run of it.
    fn answer_news_of_self(&mut self, news: Status) {
        self.update_own(|own| {
            let refuted = news.incarnation == own.incarnation && news.health != Health::Alive;
            if refuted || news.incarnation > own.incarnation {
                own.incarnation = news.incarnation + 1;
            }
        });
    }

    fn update_own(&mut self, update: impl FnOnce(&mut Status)) {
        let row = self.own_row();
        if let Some(status) = row.member.status.as_mut() {
            let incarnation = status.incarnation;
            update(status);
            if status.incarnation != incarnation {
                row.news = NEWS_REPEATS;
            }
        }
    }

    fn own_row(&mut self) -> &mut Row {
        let own_id = self.own_id;
        self.rows
            .get_mut(&own_id)
            .expect("the table holds this node from its creation")
    }

    fn row_of(&mut self, identity: &Identity) -> &mut Row {
        let id = NodeId::of(&identity.name);
        self.rows.entry(id).or_insert_with(|| Row {
            member: Member {
                identity: identity.clone(),
                status: None,
                listed: false,
                leaving: false,
            },
            health_since_ms: 0,
            news: 0,
        })
    }
}

impl Member {
    /// One call in this many goes to a dead member, to find that it is back.
    const DEAD_CALLS: u32 = 8;

    /// Whether the node fell silent while the VM list still names it.
    fn is_silent(&self) -> bool {
        self.listed
            && self.status.is_some_and(|status| {
                status.health == Health::Dead && status.state != MemberState::Gone
            })
    }

    fn is_callable(&self) -> bool {
        match self.status {
            None => self.listed,
            Some(status) if status.state == MemberState::Gone => false,
            Some(status) if status.health == Health::Dead => {
                self.listed && fastrand::u32(..Self::DEAD_CALLS) == 0
            }
            Some(_) => true,
        }
    }
}

impl Row {
    fn incarnation(&self) -> u64 {
        self.member.status.map_or(0, |status| status.incarnation)
    }

    fn is_told(&self, to_itself: bool) -> bool {
        self.member
            .status
            .is_some_and(|status| status.health != Health::Dead || self.news > 0 || to_itself)
    }

    /// Takes in news: a higher incarnation replaces the entry; within one
    /// incarnation health and state only get worse.
    fn merge(&mut self, news: Status, now: Now) {
        let Some(known) = self.member.status.as_mut() else {
            self.member.status = Some(news);
            self.health_since_ms = now.mono_ms;
            self.news = NEWS_REPEATS;
            return;
        };
        if news.incarnation < known.incarnation {
            return;
        }
        let before = *known;
        if news.incarnation > known.incarnation {
            *known = news;
        } else {
            known.heartbeat = known.heartbeat.max(news.heartbeat);
            known.generation = known.generation.max(news.generation);
            known.state = known.state.max(news.state);
            known.health = known.health.max(news.health);
        }
        if known.health != before.health {
            self.health_since_ms = now.mono_ms;
        }
        let quiet = Status {
            heartbeat: known.heartbeat,
            ..before
        };
        if *known != quiet {
            self.news = NEWS_REPEATS;
        }
    }

    fn expire_suspicion(&mut self, suspicion_ms: u64, now: Now) {
        let Some(status) = self.member.status.as_mut() else {
            return;
        };
        let suspected_ms = now.mono_ms.saturating_sub(self.health_since_ms);
        if status.health == Health::Suspect && suspected_ms >= suspicion_ms {
            status.health = Health::Dead;
            self.health_since_ms = now.mono_ms;
            self.news = NEWS_REPEATS;
            tracing::warn!(event = "HH0602", node = %self.member.identity.name, "member dead");
        }
    }

    fn is_forgotten(&self, now: Now) -> bool {
        let ended = self.member.status.is_none_or(|status| {
            status.health == Health::Dead || status.state == MemberState::Gone
        });
        let silent_ms = now.mono_ms.saturating_sub(self.health_since_ms);
        ended && !self.member.listed && silent_ms >= TOMBSTONE_MS
    }
}
