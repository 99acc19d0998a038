//! Liveness and readiness checks for the load balancer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

/// Liveness check: always answers 200.
pub(super) struct LivenessHandler;

#[async_trait]
impl Handler for LivenessHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        response.status_code(StatusCode::OK);
        response.render("ok\n");
    }
}

/// Readiness of the node, and the handler that reports it to the load balancer; clones
/// share the state.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    ready: Arc<AtomicBool>,
}

impl Readiness {
    /// Creates a readiness that is initially not ready.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether the load balancer should send requests to the node.
    pub fn set(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }
}

#[async_trait]
impl Handler for Readiness {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        if self.ready.load(Ordering::Relaxed) {
            response.status_code(StatusCode::OK);
            response.render("ready\n");
        } else {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            response.render("not ready: send work to another node\n");
        }
    }
}
