//! The client of the administration API.

use std::time::Duration;

use hemlockhitch_client::{Answer, HttpClient, HttpError, HttpErrorKind, json_request};
use hemlockhitch_config::admin::{self, AdminError, AdminErrorCode, ChangeAnswer};
use hemlockhitch_config::{Change, Configuration};
use http::{HeaderValue, Method, StatusCode, header};
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::args::Invocation;
use crate::error::{CtlError, CtlErrorKind};

/// How long an answer of a node may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// How often a change is sent while its outcome is unknown.
const SUBMIT_ATTEMPTS: u32 = 5;

/// The pause before a change is sent again.
const SUBMIT_PAUSE: Duration = Duration::from_millis(300);

/// A client of one node.
#[derive(Clone, Debug)]
pub(crate) struct AdminClient {
    http: HttpClient,
    node: String,
    authorization: HeaderValue,
}

impl AdminClient {
    /// Creates a client for the node and token that were given.
    pub(crate) fn new(invocation: &Invocation) -> Result<Self, CtlError> {
        let node = invocation.node.ok_or_else(|| {
            CtlError::usage("--node is missing; give a node's address for operators, ip:port")
        })?;
        let token = invocation.token.as_deref().ok_or_else(|| {
            CtlError::usage("no token; set HEMLOCKHITCH_TOKEN or give --token-file")
        })?;
        let mut authorization =
            HeaderValue::from_str(&format!("Bearer {token}")).map_err(|_| {
                CtlError::bad_input("the token has characters that no token has; check it")
            })?;
        authorization.set_sensitive(true);
        Ok(Self {
            http: HttpClient::new(),
            node: node.to_string(),
            authorization,
        })
    }

    /// Reads the configuration in force.
    pub(crate) async fn configuration(&self) -> Result<Configuration, CtlError> {
        self.get(admin::CONFIGURATION_PATH).await
    }

    /// Reads an answer.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let answer = self.fetch(Method::GET, path, Vec::new()).await;
        let answer = answer.map_err(|failure| failure.into_error(&self.node))?;
        read(&answer.body).map_err(|failure| failure.into_error(&self.node))
    }

    /// Sends a change. While its outcome is unknown, the same change is sent
    /// again; the node finds it by its id if it was written.
    pub(crate) async fn submit(&self, change: &Change) -> Result<ChangeAnswer, CtlError> {
        let body = serde_json::to_vec(change)
            .map_err(|error| CtlError::bad_input(format!("the change cannot be sent: {error}")))?;
        let mut doubt = None;
        for attempt in 0..SUBMIT_ATTEMPTS {
            if attempt > 0 {
                sleep(SUBMIT_PAUSE).await;
            }
            let failure = match self.post_change(body.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            if doubt.is_none() && !failure.leaves_doubt() {
                return Err(failure.into_error(&self.node));
            }
            doubt = Some(failure.into_error(&self.node));
        }
        let cause = doubt.map(|error| error.to_string()).unwrap_or_default();
        let message = format!(
            "the outcome of change {} is unknown: {cause}; look for its id in the output of \
             history before you run the command again",
            change.id
        );
        Err(CtlError::new(CtlErrorKind::OutcomeUnknown, message))
    }

    async fn post_change(&self, body: Vec<u8>) -> Result<ChangeAnswer, Failure> {
        match self.fetch(Method::POST, admin::CHANGES_PATH, body).await {
            Ok(answer) => read(&answer.body),
            Err(Failure::Status(answer)) if answer.status == StatusCode::CONFLICT => {
                read(&answer.body)
            }
            Err(failure) => Err(failure),
        }
    }

    async fn fetch(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Answer, Failure> {
        let request = json_request(method, &self.node, path, body);
        let mut request = request.map_err(Failure::Transport)?;
        request
            .headers_mut()
            .insert(header::AUTHORIZATION, self.authorization.clone());
        let answer = self.http.fetch(request, ANSWER_TIMEOUT).await;
        let answer = answer.map_err(Failure::Transport)?;
        if answer.status.is_success() {
            return Ok(answer);
        }
        Err(match serde_json::from_slice(&answer.body) {
            Ok(refusal) => Failure::Refused(refusal),
            Err(_) => Failure::Status(answer),
        })
    }
}

/// Why a request gave no answer of the kind that was asked for.
#[derive(Debug)]
enum Failure {
    /// No whole answer arrived.
    Transport(HttpError),
    /// The node refused.
    Refused(AdminError),
    /// The answer is not one of the administration API.
    Status(Answer),
    /// The answer cannot be read.
    Unreadable(serde_json::Error),
}

impl Failure {
    /// Returns whether a change that was sent may have been written.
    fn leaves_doubt(&self) -> bool {
        match self {
            Self::Transport(error) => error.kind() != HttpErrorKind::Connect,
            Self::Refused(refusal) => refusal.code == AdminErrorCode::OutcomeUnknown,
            Self::Status(answer) => answer.status.is_server_error(),
            Self::Unreadable(_) => true,
        }
    }

    fn into_error(self, node: &str) -> CtlError {
        match self {
            Self::Transport(error) => {
                let message = format!("node {node}: {error}; or give another node with --node");
                CtlError::new(CtlErrorKind::Unreachable, message)
            }
            Self::Refused(refusal) => {
                CtlError::refused(format!("refused by node {node}: {refusal}"))
            }
            Self::Status(answer) => CtlError::refused(format!(
                "node {node} answered {}; check that --node is a node's address for operators",
                answer.status
            )),
            Self::Unreadable(error) => CtlError::refused(format!(
                "the answer of node {node} cannot be read: {error}; use the program of the \
                 node's version"
            )),
        }
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(Failure::Unreadable)
}
