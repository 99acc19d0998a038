//! Client of the administration API.

use std::time::Duration;

use hemlockhitch_client::{Answer, HttpClient, HttpError, HttpErrorKind, json_request};
use hemlockhitch_config::admin::{self, AdminError, AdminErrorCode, ChangeAnswer};
use hemlockhitch_config::{Change, Configuration};
use http::{HeaderValue, Method, StatusCode, header};
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::args::Invocation;
use crate::error::{CtlError, CtlErrorKind};

/// Timeout for the complete response of a node.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of times a change is sent while its outcome is unknown.
const SUBMIT_ATTEMPTS: u32 = 5;

/// Delay between two attempts to submit a change.
const SUBMIT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Client of the administration API of one node.
#[derive(Clone, Debug)]
pub(crate) struct AdminClient {
    http: HttpClient,
    node: String,
    authorization: HeaderValue,
}

impl AdminClient {
    /// Creates a client from the `--node` and token options; both are required.
    pub(crate) fn new(invocation: &Invocation) -> Result<Self, CtlError> {
        let node = invocation.node.ok_or_else(|| {
            CtlError::usage("--node is missing; give a node's address for operators, ip:port")
        })?;
        let token = invocation.token.as_deref().ok_or_else(|| {
            CtlError::usage("no token; set HEMLOCKHITCH_TOKEN or give --token-file")
        })?;
        let mut authorization =
            HeaderValue::from_str(&format!("Bearer {token}")).map_err(|_| {
                CtlError::bad_input(
                    "the token contains characters that are not valid in a header; check it",
                )
            })?;
        authorization.set_sensitive(true);
        Ok(Self {
            http: HttpClient::new(),
            node: node.to_string(),
            authorization,
        })
    }

    /// Fetches the configuration in force.
    pub(crate) async fn configuration(&self) -> Result<Configuration, CtlError> {
        self.get(admin::CONFIGURATION_PATH).await
    }

    /// Fetches a JSON message.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let response = self.fetch(Method::GET, path, Vec::new()).await;
        let response = response.map_err(|error| error.into_ctl_error(&self.node))?;
        decode(&response.body).map_err(|error| error.into_ctl_error(&self.node))
    }

    /// Submits a change. While the outcome is unknown, the same change is submitted
    /// again: if it was written already, the node recognises it by its ID.
    pub(crate) async fn submit(&self, change: &Change) -> Result<ChangeAnswer, CtlError> {
        let body = serde_json::to_vec(change)
            .map_err(|error| CtlError::bad_input(format!("the change cannot be sent: {error}")))?;
        let mut last_error = None;
        for attempt in 0..SUBMIT_ATTEMPTS {
            if attempt > 0 {
                sleep(SUBMIT_RETRY_DELAY).await;
            }
            let error = match self.post_change(body.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if last_error.is_none() && !error.is_outcome_unknown() {
                return Err(error.into_ctl_error(&self.node));
            }
            last_error = Some(error.into_ctl_error(&self.node));
        }
        let cause = last_error
            .map(|error| error.to_string())
            .unwrap_or_default();
        let message = format!(
            "the outcome of change {} is unknown: {cause}; look for its id in the output of \
             history before you run the command again",
            change.id
        );
        Err(CtlError::new(CtlErrorKind::OutcomeUnknown, message))
    }

    async fn post_change(&self, body: Vec<u8>) -> Result<ChangeAnswer, RequestError> {
        match self.fetch(Method::POST, admin::CHANGES_PATH, body).await {
            Ok(response) => decode(&response.body),
            Err(RequestError::UnexpectedStatus(response))
                if response.status == StatusCode::CONFLICT =>
            {
                decode(&response.body)
            }
            Err(error) => Err(error),
        }
    }

    async fn fetch(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Answer, RequestError> {
        let request = json_request(method, &self.node, path, body);
        let mut request = request.map_err(RequestError::Transport)?;
        request
            .headers_mut()
            .insert(header::AUTHORIZATION, self.authorization.clone());
        let response = self.http.fetch(request, RESPONSE_TIMEOUT).await;
        let response = response.map_err(RequestError::Transport)?;
        if response.status.is_success() {
            return Ok(response);
        }
        Err(match serde_json::from_slice(&response.body) {
            Ok(refusal) => RequestError::Refused(refusal),
            Err(_) => RequestError::UnexpectedStatus(Box::new(response)),
        })
    }
}

/// Why a request did not return the expected message.
#[derive(Debug)]
enum RequestError {
    /// No complete response was received.
    Transport(HttpError),
    /// The node refused the request.
    Refused(AdminError),
    /// The status is not a success and the body is not an [`AdminError`].
    UnexpectedStatus(Box<Answer>),
    /// The body cannot be deserialised.
    Decode(serde_json::Error),
}

impl RequestError {
    /// Returns whether a submitted change may have been written despite the error.
    fn is_outcome_unknown(&self) -> bool {
        match self {
            Self::Transport(error) => error.kind() != HttpErrorKind::Connect,
            Self::Refused(refusal) => refusal.code == AdminErrorCode::OutcomeUnknown,
            Self::UnexpectedStatus(response) => response.status.is_server_error(),
            Self::Decode(_) => true,
        }
    }

    fn into_ctl_error(self, node: &str) -> CtlError {
        match self {
            Self::Transport(error) => {
                let message = format!("node {node}: {error}; or give another node with --node");
                CtlError::new(CtlErrorKind::Unreachable, message)
            }
            Self::Refused(refusal) => {
                CtlError::refused(format!("refused by node {node}: {refusal}"))
            }
            Self::UnexpectedStatus(response) => CtlError::refused(format!(
                "node {node} answered {}; check that --node is a node's address for operators",
                response.status
            )),
            Self::Decode(error) => CtlError::refused(format!(
                "the response of node {node} cannot be read: {error}; use the \
                 hemlockhitchctl version of that node"
            )),
        }
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, RequestError> {
    serde_json::from_slice(body).map_err(RequestError::Decode)
}
