//! One request from its head to its answer's end.
//!
//! Admit, choose version and model, choose an endpoint, take a place, send, judge;
//! then answer, try another endpoint, resume or give up at once.

mod admit;
mod context;
mod headers;
mod relay;
mod response;
mod run;
mod send;
mod slot;
mod stream;

pub use response::AnswerBody;

use std::convert::Infallible;

use hemlockhitch_model::Clock;
use http::{Request, Response};
use hyper::body::Incoming;

use crate::dialect::Dialect;
use crate::state::Shared;
use crate::telemetry::Labels;
use admit::Admission;

/// Answers requests; clones share the state.
#[derive(Debug)]
pub struct Gateway<D, C> {
    shared: Shared<D, C>,
}

impl<D, C> Clone for Gateway<D, C> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Creates the gateway of a node.
    #[must_use]
    pub fn new(shared: Shared<D, C>) -> Self {
        Self { shared }
    }

    /// Returns the state that the gateway works on.
    #[must_use]
    pub fn shared(&self) -> &Shared<D, C> {
        &self.shared
    }

    /// Answers one request.
    ///
    /// # Errors
    ///
    /// Never fails: each failure is an answer.
    pub async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Infallible> {
        let response = match self.admit(request).await {
            Admission::Admitted(job) => {
                let organisation = job.organisation.as_ref().map(|known| &known.name);
                let labels = Labels::new(&self.shared, organisation, job.route.work, job.arrived);
                let response = self.run(*job).await;
                labels.answered(response.status().as_u16(), self.shared.now());
                response
            }
            Admission::Refused(refusal) => refusal.into_response(),
        };
        Ok(response)
    }
}
