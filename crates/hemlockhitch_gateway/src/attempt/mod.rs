//! Request handling, from the request head to the end of the response.
//!
//! A request is admitted, a version, a model and an endpoint are chosen, a slot is
//! taken, the request is sent and the retry policy is applied. The gateway then responds,
//! tries another endpoint, resumes the stream or fails the request immediately.

mod admit;
mod answer;
mod body;
mod context;
mod headers;
mod hold;
mod model;
mod outcome;
mod pass;
mod pending;
mod probe;
mod queue;
mod record;
mod relay;
mod response;
mod run;
mod send;
mod share;
mod slot;
mod stream;

pub use response::ResponseBody;

use std::convert::Infallible;

use hemlockhitch_model::Clock;
use http::{Request, Response};
use hyper::body::Incoming;

use crate::dialect::Dialect;
use crate::state::NodeContext;
use crate::telemetry::RequestLabels;
use admit::Admission;

/// Handles requests; clones share the node context.
#[derive(Debug)]
pub struct Gateway<D, C> {
    node_context: NodeContext<D, C>,
}

impl<D, C> Clone for Gateway<D, C> {
    fn clone(&self) -> Self {
        Self {
            node_context: self.node_context.clone(),
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Creates the gateway of a node.
    #[must_use]
    pub fn new(node_context: NodeContext<D, C>) -> Self {
        Self { node_context }
    }

    /// Returns the node context.
    #[must_use]
    pub fn node_context(&self) -> &NodeContext<D, C> {
        &self.node_context
    }

    /// Handles one request.
    ///
    /// # Errors
    ///
    /// Never returns an error: every failure is turned into a response.
    pub async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let admission = self.admit(request, None).await;
        Ok(self.handle_admitted(admission).await)
    }

    async fn handle_admitted(&self, admission: Admission<D, C>) -> Response<ResponseBody> {
        match admission {
            Admission::Admitted(ctx) => {
                let organisation = ctx
                    .organisation
                    .as_ref()
                    .map(|organisation| &organisation.name);
                let labels = RequestLabels::new(
                    &self.node_context,
                    organisation,
                    ctx.route.kind,
                    ctx.received_at,
                );
                let response = self.run(*ctx).await;
                labels.record_response(response.status().as_u16(), self.node_context.now());
                response
            }
            Admission::Refused(refusal) => refusal.into_response(),
        }
    }
}
