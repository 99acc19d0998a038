//! Implementation of the administration API for one node.

use std::sync::Arc;

use hemlockhitch_config::admin::{
    AdminError, AdminErrorCode, ChangeAnswer, DeferredStatus, EndpointState, EndpointStatus,
    Explanation, ExplanationStep, NodeState, NodeStatus, Progress, Stage, Status,
};
use hemlockhitch_config::store::{
    ConfigStore, ConfigStoreError, ConfigStoreErrorKind, SubmitOutcome,
};
use hemlockhitch_config::{Change, Configuration, NumberedChange};
use hemlockhitch_http::admin::Administration;
use hemlockhitch_model::{Clock, EndpointKey, NodeName, RequestId, SystemClock};
use hemlockhitch_peer::{Health, Member, MemberState, Peers};
use hemlockhitch_ports::key_value::HttpKeyValue;
use hemlockhitch_router::{Router, RoutingView};

use super::backend::NodeBackend;
use super::deferred::{self, NodeQueue};

/// Answers administration calls from the store, the peers and the router of the node.
#[derive(Clone)]
pub(super) struct NodeAdministration {
    node: NodeName,
    store: ConfigStore<HttpKeyValue>,
    queue: NodeQueue,
    peers: Arc<Peers>,
    router: Router<NodeBackend>,
    clock: SystemClock,
}

impl NodeAdministration {
    pub(super) fn new(
        node: NodeName,
        store: ConfigStore<HttpKeyValue>,
        queue: NodeQueue,
        peers: Arc<Peers>,
        router: Router<NodeBackend>,
        clock: SystemClock,
    ) -> Self {
        Self {
            node,
            store,
            queue,
            peers,
            router,
            clock,
        }
    }

    /// Sends a change that the store accepted to the peers.
    fn publish_change(&self, generation: u64, change: Change) {
        let numbered = NumberedChange { generation, change };
        self.peers.submitted(numbered);
    }

    fn endpoint_status(&self, view: &RoutingView, key: EndpointKey) -> EndpointStatus {
        let entry = &view.table.endpoints[key];
        let load = view.state(key).load();
        let accepts_work = view.table.accepts_work(key, 0, self.clock.now().unix_ms);
        EndpointStatus {
            name: entry.row.name.clone(),
            service: entry.row.service.clone(),
            data_centre: entry.row.data_centre.clone(),
            state: if accepts_work {
                EndpointState::Unknown
            } else {
                EndpointState::Out
            },
            owner: None,
            limit: entry.row.warm_limit,
            in_flight: load.own_in_flight,
            report_age_ms: None,
        }
    }
}

impl Administration for NodeAdministration {
    fn configuration(&self) -> Configuration {
        Configuration::clone(&self.peers.feed().current())
    }

    async fn submit(&self, change: Change) -> Result<ChangeAnswer, AdminError> {
        let submission = self.store.submit(change.clone(), self.clock.now()).await;
        let submission = submission.map_err(|error| store_error(&error))?;
        if let SubmitOutcome::Written { generation } = submission {
            self.publish_change(generation, change);
        }
        Ok(submission.into())
    }

    fn progress(&self, generation: u64) -> Progress {
        let in_force = self.peers.in_force(generation, self.clock.now());
        Progress {
            generation,
            in_force: in_force.confirmed,
            waiting: in_force.waiting,
            accepted: in_force.accepted,
        }
    }

    async fn history(&self, after: u64) -> Result<Vec<NumberedChange>, AdminError> {
        let changes = self.store.history(after).await;
        changes.map_err(|error| store_error(&error))
    }

    fn status(&self) -> Status {
        let view = self.router.view();
        Status {
            node: self.node.clone(),
            generation: self.peers.feed().generation(),
            nodes: self.peers.members().iter().map(node_status).collect(),
            endpoints: view
                .table
                .endpoints
                .iter()
                .map(|(key, _)| self.endpoint_status(&view, key))
                .collect(),
            stopped_roll_outs: Vec::new(),
        }
    }

    async fn explain(&self, request: RequestId) -> Result<Explanation, AdminError> {
        let found = self.router.explanations().find(request);
        found
            .map(|found| explanation(&self.node, found))
            .ok_or_else(|| {
                AdminError::new(
                    AdminErrorCode::NotFound,
                    "this node knows no such request",
                    "ask the node that answered it; recent requests alone are kept",
                )
            })
    }

    async fn deferred(&self) -> Result<Vec<DeferredStatus>, AdminError> {
        deferred::list(&self.queue).await
    }
}

fn store_error(error: &ConfigStoreError) -> AdminError {
    let (code, remedy) = match error.kind() {
        ConfigStoreErrorKind::Unavailable | ConfigStoreErrorKind::Contended => (
            AdminErrorCode::StoreUnavailable,
            "send the same change again later",
        ),
        ConfigStoreErrorKind::OutcomeUnknown => (
            AdminErrorCode::OutcomeUnknown,
            "send the same change again, with the same id",
        ),
        ConfigStoreErrorKind::TooOld => (
            AdminErrorCode::NotFound,
            "ask for the history after a later generation",
        ),
        ConfigStoreErrorKind::Malformed | ConfigStoreErrorKind::Invalid(_) => {
            (AdminErrorCode::BadRequest, "correct the change")
        }
        ConfigStoreErrorKind::Corrupt => (
            AdminErrorCode::Internal,
            "compare the versions of the nodes; a record of the store cannot be read",
        ),
    };
    AdminError::new(code, error.to_string(), remedy)
}

fn node_status(member: &Member) -> NodeStatus {
    NodeStatus {
        name: member.identity.name.clone(),
        data_centre: member.identity.data_centre.clone(),
        state: node_state(member),
        generation: member.status.map_or(0, |status| status.generation),
        age_ms: 0,
    }
}

fn node_state(member: &Member) -> NodeState {
    let Some(status) = member.status else {
        return NodeState::Suspect;
    };
    match (status.health, status.state) {
        (Health::Dead, _) | (_, MemberState::Gone) => NodeState::Dead,
        (Health::Suspect, _) => NodeState::Suspect,
        (Health::Alive, MemberState::Draining) => NodeState::Leaving,
        (Health::Alive, MemberState::Joining | MemberState::Serving) => NodeState::Live,
    }
}

fn explanation(node: &NodeName, found: hemlockhitch_router::Explanation) -> Explanation {
    let steps = found.steps.into_iter().map(|step| ExplanationStep {
        at_unix_ms: step.at_unix_ms,
        stage: if step.ended == "whole" {
            Stage::Finished
        } else {
            Stage::EndpointFailed
        },
        version: found.version.clone(),
        endpoint: Some(step.endpoint),
        reason: format!(
            "{}; {}; from token {}",
            found.reason, step.ended, step.resume_offset_tokens
        ),
    });
    Explanation {
        request: found.request_id,
        node: node.clone(),
        organisation: found.organisation.clone(),
        class: found.class,
        generation: found.generation,
        steps: steps.collect(),
    }
}
