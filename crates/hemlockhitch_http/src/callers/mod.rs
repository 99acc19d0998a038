//! Callers' API.
//!
//! | request | answer |
//! |---|---|
//! | `POST /v1/chat/completions` | a chat completion, whole or streamed as server-sent events |
//! | `POST /v1/deferred` | the id of a deferred chat completion, which runs before a deadline |
//! | `GET /v1/deferred/{id}` | the state of a deferred job, and its answer once it is done |
//! | `GET /v1/models` | the models and versions that the caller may use |
//! | any method `/v1/services/{service}/...` | the answer of a plain service |
//! | `GET /healthz`, `GET /readyz` | liveness and readiness of the node |

mod body;
mod chat;
mod completion;
mod deferred;
mod headers;
mod health;
mod models;
mod response;
mod service;

pub use deferred::{completion_json, deferred_routes};
pub use health::Readiness;

use hemlockhitch_router::{Backend, Router};

/// Limits of the callers' API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallersLimits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
}

/// Builds the routes of the callers' API, without those of [`deferred_routes`].
#[must_use]
pub fn routes<B: Backend>(
    router: &Router<B>,
    readiness: &Readiness,
    limits: CallersLimits,
) -> salvo::Router {
    let chat = chat::ChatHandler {
        router: router.clone(),
        limits,
    };
    let service = service::ServiceHandler {
        router: router.clone(),
        limits,
    };
    let models = models::ModelsHandler {
        router: router.clone(),
    };
    salvo::Router::new()
        .push(salvo::Router::with_path("v1/chat/completions").post(chat))
        .push(salvo::Router::with_path("v1/models").get(models))
        .push(salvo::Router::with_path("v1/services/{service}/{**rest}").goal(service))
        .push(salvo::Router::with_path("healthz").get(health::LivenessHandler))
        .push(salvo::Router::with_path("readyz").get(readiness.clone()))
}
