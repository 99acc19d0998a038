//! Test double for a node's administration API, with fault injection.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use hemlockhitch_config::admin::{
    AdminError, AdminErrorCode, ChangeAnswer, DeferredState, DeferredStatus, EndpointState,
    EndpointStatus, Explanation, ExplanationStep, NodeState, NodeStatus, Progress, Stage, Status,
    StoppedRollOut,
};
use hemlockhitch_config::{Change, ConfigStore, Configuration, SubmitOutcome};
use hemlockhitch_ctl::{Environment, run};
use hemlockhitch_model::{Class, Now, RequestId};
use hemlockhitch_ports::key_value::MemoryKeyValue;
use hemlockhitch_standin::server::{HandlerResult, Server, json_response, read_body};
use http::{Request, StatusCode};
use hyper::body::Incoming;

/// The only token that the node accepts.
pub const TOKEN: &str = "sample-operator";

/// Fault injected into the submission of one change.
#[derive(Clone, Copy, Debug)]
pub enum ChangeFault {
    /// The change is written, then the connection is closed without a response.
    ResponseLost,
    /// The node reports that it lost the store's response; nothing is written.
    OutcomeUnknown,
    /// The node reports that the store is unavailable; nothing is written.
    StoreDown,
}

/// A running test node.
pub struct Node {
    server: Server,
    pub handle: NodeHandle,
}

/// Access to the state of a test node; clones share it.
#[derive(Clone)]
pub struct NodeHandle {
    pub store: ConfigStore<MemoryKeyValue>,
    state: Arc<Mutex<SharedState>>,
}

#[derive(Default)]
struct SharedState {
    change_faults: VecDeque<ChangeFault>,
    progress_responses: VecDeque<Progress>,
    stale_configuration: Option<Configuration>,
}

/// Exit code and output of one run of the command line.
pub struct CommandOutput {
    pub exit_code: u8,
    pub stdout: String,
    pub stderr: String,
}

impl Node {
    pub async fn start() -> Self {
        let handle = NodeHandle {
            store: ConfigStore::new(MemoryKeyValue::new()),
            state: Arc::default(),
        };
        let server_handle = handle.clone();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = move |request| {
            let handle = server_handle.clone();
            async move { handle.handle(request).await }
        };
        let server = Server::start(address, handler)
            .await
            .expect("bind to a free port");
        Self { server, handle }
    }

    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Runs a command against this node with a valid token.
    pub async fn run(&self, line: &str) -> CommandOutput {
        let node = self.address();
        let mut words = vec!["--node", &node];
        words.extend(line.split_whitespace());
        run_command(&words, Some(TOKEN)).await
    }
}

/// Runs the command line with these arguments.
pub async fn run_command(words: &[&str], token: Option<&str>) -> CommandOutput {
    let environment = Environment {
        token: token.map(str::to_owned),
    };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(words.iter().copied(), environment, &mut out, &mut err).await;
    CommandOutput {
        exit_code: exit.code(),
        stdout: String::from_utf8(out).expect("UTF-8"),
        stderr: String::from_utf8(err).expect("UTF-8"),
    }
}

impl NodeHandle {
    pub fn inject_faults(&self, faults: impl IntoIterator<Item = ChangeFault>) {
        self.state.lock().unwrap().change_faults = faults.into_iter().collect();
    }

    /// Sets the responses to the next progress queries; the last one is repeated.
    pub fn set_progress_responses(&self, progress: impl IntoIterator<Item = Progress>) {
        self.state.lock().unwrap().progress_responses = progress.into_iter().collect();
    }

    /// Serves this configuration from now on, as a node that lags behind does.
    pub fn serve_stale_configuration(&self, configuration: Configuration) {
        self.state.lock().unwrap().stale_configuration = Some(configuration);
    }

    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        let authorization = request.headers().get("authorization");
        let expected = format!("Bearer {TOKEN}");
        if authorization.is_none_or(|value| value.as_bytes() != expected.as_bytes()) {
            let refusal = AdminError::new(
                AdminErrorCode::Unauthorized,
                "the token is not known",
                "use an operator's token",
            );
            return json_response(StatusCode::UNAUTHORIZED, &refusal);
        }
        let path = request.uri().path().to_owned();
        let after = request
            .uri()
            .query()
            .and_then(|query| query.strip_prefix("after="));
        let after = after.map_or(0, |after| after.parse().expect("valid generation"));
        match path.strip_prefix("/admin/v1/").unwrap_or_default() {
            "configuration" => json_response(StatusCode::OK, &self.configuration().await),
            "changes" => self.submit(request).await,
            "history" => {
                let changes = self.store.history(after).await.expect("store is available");
                json_response(StatusCode::OK, &changes)
            }
            "status" => json_response(StatusCode::OK, &status()),
            "deferred" => json_response(StatusCode::OK, &[deferred()]),
            path if path.ends_with("/progress") => json_response(StatusCode::OK, &self.progress()),
            path if path.ends_with(&request_id().to_string()) => {
                json_response(StatusCode::OK, &explanation())
            }
            _ => json_response(
                StatusCode::NOT_FOUND,
                &AdminError::new(AdminErrorCode::NotFound, "no such request", "check its id"),
            ),
        }
    }

    async fn configuration(&self) -> Configuration {
        let stale = self.state.lock().unwrap().stale_configuration.clone();
        match stale {
            Some(configuration) => configuration,
            None => self.store.load().await.expect("store is available"),
        }
    }

    async fn submit(&self, request: Request<Incoming>) -> HandlerResult {
        let body = read_body(request).await?;
        let change: Change = serde_json::from_slice(&body).expect("valid change");
        let fault = self.state.lock().unwrap().change_faults.pop_front();
        match fault {
            Some(ChangeFault::OutcomeUnknown) => {
                let refusal = AdminError::new(
                    AdminErrorCode::OutcomeUnknown,
                    "answer lost",
                    "send the same change again",
                );
                return json_response(StatusCode::SERVICE_UNAVAILABLE, &refusal);
            }
            Some(ChangeFault::StoreDown) => {
                let refusal = AdminError::new(
                    AdminErrorCode::StoreUnavailable,
                    "the store is down",
                    "try again later",
                );
                return json_response(StatusCode::SERVICE_UNAVAILABLE, &refusal);
            }
            Some(ChangeFault::ResponseLost) | None => {}
        }
        let now = Now {
            mono_ms: 0,
            unix_ms: 1_796_331_600_000,
        };
        let outcome = self.store.submit(change, now).await;
        if fault.is_some() {
            return Err(std::io::Error::other("connection closed"));
        }
        match outcome {
            Ok(outcome) => {
                let status = match outcome {
                    SubmitOutcome::Written { .. } => StatusCode::OK,
                    SubmitOutcome::Conflict { .. } => StatusCode::CONFLICT,
                };
                json_response(status, &ChangeAnswer::from(outcome))
            }
            Err(error) => json_response(StatusCode::BAD_REQUEST, &AdminError::from(error)),
        }
    }

    fn progress(&self) -> Progress {
        let mut state = self.state.lock().unwrap();
        if state.progress_responses.len() > 1 {
            return state.progress_responses.pop_front().expect("not empty");
        }
        state
            .progress_responses
            .front()
            .cloned()
            .expect("progress is set")
    }
}

/// Builds the progress of generation 1 for these nodes.
pub fn progress(in_force: &[&str], waiting: &[&str]) -> Progress {
    Progress {
        generation: 1,
        in_force: in_force.iter().map(|name| (*name).into()).collect(),
        waiting: waiting.iter().map(|name| (*name).into()).collect(),
        accepted: waiting.is_empty(),
    }
}

pub fn request_id() -> RequestId {
    RequestId::from_u128(0xabc)
}

fn status() -> Status {
    Status {
        node: "em-a-1".into(),
        generation: 7,
        nodes: vec![NodeStatus {
            name: "em-b-1".into(),
            data_centre: "em-b".into(),
            state: NodeState::Suspect,
            generation: 6,
            age_ms: 2_300,
        }],
        endpoints: vec![EndpointStatus {
            name: "hitch-models-1".into(),
            service: "hitch-models".into(),
            data_centre: "em-a".into(),
            state: EndpointState::Cold,
            owner: None,
            limit: 2,
            in_flight: 1,
            report_age_ms: Some(400),
        }],
        stopped_roll_outs: vec![StoppedRollOut {
            version: "pull-large@2".into(),
            reason: "9 errors in 40 requests, baseline 0 in 800".to_owned(),
            at_unix_ms: 1_796_331_600_000,
        }],
    }
}

fn explanation() -> Explanation {
    Explanation {
        request: request_id(),
        node: "em-a-1".into(),
        organisation: "derby".into(),
        class: Class::Till,
        generation: 7,
        steps: vec![ExplanationStep {
            at_unix_ms: 1_796_331_600_000,
            stage: Stage::Claimed,
            version: None,
            endpoint: Some("pull-app-1".into()),
            reason: "not idempotent".to_owned(),
        }],
    }
}

fn deferred() -> DeferredStatus {
    DeferredStatus {
        request: request_id(),
        organisation: "derby".into(),
        model: Some("pull-small".into()),
        state: DeferredState::Waiting,
        admitted_unix_ms: 1_796_331_600_000,
        deadline_unix_ms: 1_796_371_200_000,
        attempts: 0,
    }
}
