//! What attempts show about requests that crash endpoints.

use hemlockhitch_model::{Clock, Now};
use hemlockhitch_routing::crash_tracker::{
    Admission, CrashTracker, Evidence, NewVerdict, RequestTraits, Suspect,
};
use hemlockhitch_routing::gossip::SharedFacts;
use hemlockhitch_routing::hash_bytes;
use hemlockhitch_routing::limits::NodeShares;

use super::{NodeContext, State};
use crate::dialect::Dialect;

/// Maximum number of blocked suspects that wait to be written to the store.
const MAX_UNPUBLISHED: usize = 64;

impl<D: Dialect, C: Clock> NodeContext<D, C> {
    /// Records that an endpoint disconnected before it had begun its response to a
    /// request, whether or not it crashed.
    pub(crate) fn record_disconnection(&self, request: RequestTraits<'_>, instance_hash: u64) {
        let now = self.now();
        self.update_crashes(|tracker| tracker.record_disconnection(request, instance_hash, now));
    }

    /// Records that an endpoint crashed at `at` before it had begun its response to a
    /// request. Other nodes learn of it once it is resolved.
    pub(crate) fn record_crash(&self, request: RequestTraits<'_>, instance_hash: u64, at: Now) {
        self.update_crashes(|tracker| tracker.record_unconfirmed_crash(request, instance_hash, at));
    }

    /// Shares the crash of an endpoint with other nodes, or withdraws it if this node reaches
    /// no endpoint.
    pub(crate) fn resolve_crash(
        &self,
        request: RequestTraits<'_>,
        instance_hash: u64,
        reaches_others: bool,
    ) {
        let now = self.now();
        self.update_crashes(|tracker| {
            tracker.resolve_crash(request, instance_hash, reaches_others, now);
        });
    }

    /// Decides whether a request may be sent to an endpoint now.
    pub(crate) fn admit(&self, request: RequestTraits<'_>) -> Admission {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        let nodes = NodeShares {
            own_node_hash: hash_bytes(self.settings().node.as_str()),
            node_hashes: &state.node_hashes,
        };
        state.crash_tracker.admit(request, nodes, now)
    }

    /// Takes the record of a block in the store as a suspicion.
    pub(crate) fn add_crash_record(&self, suspect: Suspect, evidence: &Evidence) {
        let now = self.now();
        self.update_crashes(|tracker| tracker.add_record(suspect, evidence, now));
    }

    /// Drops the suspicion of a record that the store no longer holds.
    pub(crate) fn remove_crash_record(&self, suspect: Suspect) {
        let now = self.now();
        self.update_crashes(|tracker| tracker.remove_record(suspect, now));
    }

    /// Records that an endpoint has responded to a request beyond the beginning.
    pub(crate) fn record_served(&self, request: RequestTraits<'_>) {
        let now = self.now();
        self.update_crashes(|tracker| tracker.record_served(request, now));
    }

    /// Records that an instance responded to a request that was sent at `sent_mono_ms`.
    pub(crate) fn record_response(&self, instance_hash: u64, sent_mono_ms: u64) {
        let now = self.now();
        self.update_crashes(|tracker| tracker.record_response(instance_hash, sent_mono_ms, now));
    }

    /// Merges the crashes that another node knows.
    pub(crate) fn merge_evidence(&self, evidence: &Evidence) {
        let now = self.now();
        self.update_crashes(|tracker| tracker.merge(evidence, now));
    }

    /// Drops facts that no longer count.
    pub(crate) fn expire_crashes(&self) {
        let now = self.now();
        self.update_crashes(|tracker| tracker.judge(now));
    }

    fn update_crashes(&self, update: impl FnOnce(&mut CrashTracker)) {
        let now = self.now();
        let mut state = self.state();
        let before = state.crash_tracker.sequence();
        update(&mut state.crash_tracker);
        let has_learned = state.crash_tracker.sequence() > before;
        state.report_verdicts(now);
        drop(state);
        if has_learned {
            self.notify_facts_learned();
        }
    }
}

impl State {
    fn report_verdicts(&mut self, now: Now) {
        let changes = self.crash_tracker.take_changes();
        for suspect in changes.suspected {
            tracing::info!(
                event = "HH1249",
                ?suspect,
                "held back until it is known whether it crashes endpoints"
            );
        }
        for suspect in changes.released {
            tracing::info!(event = "HH1237", ?suspect, "no longer blocked");
        }
        for NewVerdict {
            verdict,
            has_own_crash,
        } in changes.blocked
        {
            let suspect = verdict.suspect;
            tracing::warn!(
                event = "HH1236",
                ?suspect,
                alternatives = ?verdict.alternatives,
                crashes = verdict.crashes,
                has_own_crash,
                "blocked, because endpoints crashed under it"
            );
            if has_own_crash && self.unpublished_crashes.len() < MAX_UNPUBLISHED {
                let evidence = self.crash_tracker.evidence_for(&verdict, now);
                self.unpublished_crashes.push_back((suspect, evidence));
            }
        }
    }
}
