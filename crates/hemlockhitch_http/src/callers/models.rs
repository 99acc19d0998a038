//! HTTP handler that lists the models and versions available to a caller.

use hemlockhitch_router::{Backend, Caller, Router, RoutingView};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde::Serialize;

use super::{headers, response};

/// Handles `GET /v1/models`.
pub(super) struct ModelsHandler<B: Backend> {
    pub(super) router: Router<B>,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

#[derive(Serialize)]
struct ModelItem {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

#[async_trait]
impl<B: Backend> Handler for ModelsHandler<B> {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        match self.router.authenticate(headers::read(request)) {
            Ok(caller) => response::write_json(response, list(&self.router.view(), &caller)),
            Err(refusal) => response::write_refusal(response, &refusal),
        }
    }
}

fn list(view: &RoutingView, caller: &Caller) -> ModelList {
    let allowed = &view.table.organisations[caller.organisation].allowed;
    let mut names: Vec<String> = Vec::new();
    for (model, versions) in allowed {
        names.push(view.table.models[*model].name.to_string());
        let live = versions
            .iter()
            .map(|allowed| &view.table.versions[allowed.version].row)
            .filter(|version| !version.withdrawn);
        names.extend(live.map(|version| version.name.to_string()));
    }
    names.sort();
    ModelList {
        object: "list",
        data: names.into_iter().map(item).collect(),
    }
}

fn item(id: String) -> ModelItem {
    ModelItem {
        id,
        object: "model",
        owned_by: "hemlockhitch",
    }
}
