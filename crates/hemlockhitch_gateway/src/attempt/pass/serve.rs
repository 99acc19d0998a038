//! Serves requests that other nodes pass.

use hemlockhitch_model::Clock;
use http::header::{HeaderMap, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::message::{LEAVING, NOT_TAKEN, PASS_ID, PassedRequest};
use crate::attempt::Gateway;
use crate::attempt::response::{Refusal, ResponseBody};
use crate::dialect::Dialect;

/// Number of leaving instances that a response names; the feed carries the others.
const MAX_NAMED_LEAVING: usize = 32;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Handles a request that another node passes. `takes_requests` is whether this node
    /// serves callers.
    pub(crate) async fn handle_passed(
        &self,
        mut request: Request<Incoming>,
        takes_requests: bool,
    ) -> Response<ResponseBody> {
        let Some(passed) = PassedRequest::take(request.headers_mut()) else {
            let message = "not a request of another node; use the address for callers";
            return Refusal::new(StatusCode::BAD_REQUEST, message).into_response();
        };
        let is_behind = self.configuration_version() < passed.configuration_version;
        let mut response = if !takes_requests || is_behind {
            not_taken("the node cannot take the request; pass it to another one")
        } else {
            let admission = self.admit(request, Some(passed)).await;
            let mut response = self.handle_admitted(admission).await;
            self.name_leaving(response.headers_mut());
            response
        };
        if let Some(pass_id) = passed.pass_id {
            let pass_id = HeaderValue::from(pass_id);
            response.headers_mut().insert(PASS_ID, pass_id);
        }
        response
    }

    /// Names the leaving endpoints, since the node that relays the response of one is bound
    /// by what it states.
    fn name_leaving(&self, headers: &mut HeaderMap) {
        let leaving = self.node_context.leaving();
        let hashes = leaving.iter().take(MAX_NAMED_LEAVING);
        let hashes: Vec<String> = hashes.map(|hash| format!("{hash:x}")).collect();
        if let Ok(value) = HeaderValue::from_str(&hashes.join(","))
            && !hashes.is_empty()
        {
            headers.insert(LEAVING, value);
        }
    }

    /// Returns the version of the configuration that this node knows; 0 while there is none.
    pub(super) fn configuration_version(&self) -> u64 {
        let state = self.node_context.state();
        let catalogue = state.catalogue.as_ref();
        catalogue.map_or(0, |catalogue| catalogue.version())
    }
}

/// Responds to a passed request that was sent to no endpoint.
fn not_taken(message: &'static str) -> Response<ResponseBody> {
    mark_not_taken(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, message).into_response())
}

/// Marks the response to a passed request that was sent to no endpoint.
pub(in super::super) fn mark_not_taken(
    mut response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    response
        .headers_mut()
        .insert(NOT_TAKEN, HeaderValue::from_static("1"));
    response
}
