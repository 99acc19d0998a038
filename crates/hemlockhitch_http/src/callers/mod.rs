//! The callers' API.
//!
//! | request | answer |
//! |---|---|
//! | `POST /v1/chat/completions` | a chat completion, whole or as server-sent events |
//! | `POST /v1/deferred` | the id of a chat completion that runs before a deadline |
//! | `GET /v1/deferred/{id}` | its state, and its answer once it is done |
//! | `GET /v1/models` | the models and versions that the caller may use |
//! | any method `/v1/services/{service}/...` | the answer of a plain service |
//! | `GET /healthz`, `GET /readyz` | whether the node lives and takes work |

mod body;
mod chat;
mod completion;
mod deferred;
mod headers;
mod health;
mod models;
mod response;
mod service;

pub use deferred::{deferred_routes, whole_answer};
pub use health::Readiness;

use hemlockhitch_router::{Backend, Router};

/// Limits of the callers' API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallersLimits {
    /// The largest body, in bytes.
    pub body_bytes: usize,
}

/// Builds the routes of the callers' API.
#[must_use]
pub fn routes<B: Backend>(
    router: &Router<B>,
    readiness: &Readiness,
    limits: CallersLimits,
) -> salvo::Router {
    let chat = chat::Chat {
        router: router.clone(),
        limits,
    };
    let service = service::ServiceRoute {
        router: router.clone(),
        limits,
    };
    let models = models::Models {
        router: router.clone(),
    };
    salvo::Router::new()
        .push(salvo::Router::with_path("v1/chat/completions").post(chat))
        .push(salvo::Router::with_path("v1/models").get(models))
        .push(salvo::Router::with_path("v1/services/{service}/{**rest}").goal(service))
        .push(salvo::Router::with_path("healthz").get(health::Health))
        .push(salvo::Router::with_path("readyz").get(readiness.clone()))
}
