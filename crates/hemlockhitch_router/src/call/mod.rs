//! Calls of plain services.

mod claimed;
mod dispatch;

use bytes::Bytes;
use hemlockhitch_config::configuration::ServiceCall;
use hemlockhitch_endpoint::service::{ServiceAnswer, ServiceRequest};
use hemlockhitch_model::{Class, Now, ServiceKey};

use crate::backend::Backend;
use crate::caller::{Caller, CallerHeaders};
use crate::refusal::{Refusal, RefusalKind};
use crate::router::Router;
use crate::view::View;

/// A call of a plain service as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCallRequest {
    /// The headers.
    pub headers: CallerHeaders,
    /// The name of the service.
    pub service: String,
    /// HTTP method, in capitals.
    pub method: String,
    /// Path and query below the service, starting with `/`.
    pub path: String,
    /// Content type of the body, if there is one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A call that was authenticated and found in the configuration.
#[derive(Clone, Debug)]
pub(crate) struct Planned {
    pub(crate) caller: Caller,
    pub(crate) service: ServiceKey,
    pub(crate) call: ServiceCall,
    pub(crate) request: ServiceRequest,
    pub(crate) started: Now,
}

impl<B: Backend> Router<B> {
    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Fails when the call is refused or no endpoint answers it.
    pub async fn call(&self, call: ServiceCallRequest) -> Result<ServiceAnswer, Refusal> {
        let now = self.now();
        let view = self.view();
        let class = class_of(&view, &call);
        let accepted = self.admit(call.headers.clone(), &view, class, now).await?;
        let _work = accepted.work;
        let caller = accepted.caller;
        let request_id = caller.request_id;
        let view = accepted.view;
        let planned =
            plan(&view, caller, call, now).map_err(|refusal| refusal.request(request_id))?;
        let answered = if planned.call.idempotent {
            dispatch::run_idempotent(self, &view, &planned).await
        } else {
            claimed::run_once(self, &view, &planned).await
        };
        record(&view, &planned, &answered, self.now());
        answered.map_err(|refusal| refusal.request(request_id))
    }
}

fn plan(
    view: &View,
    caller: Caller,
    request: ServiceCallRequest,
    now: Now,
) -> Result<Planned, Refusal> {
    let service = view.table.service(&request.service).ok_or_else(|| {
        Refusal::not_run(
            RefusalKind::NotFound,
            format!("service {:?} does not exist", request.service),
            "check the path of the call",
        )
    })?;
    let path = request.path.split('?').next().unwrap_or_default();
    let call = find_call(view, service, &request.method, path)?;
    Ok(Planned {
        request: ServiceRequest {
            request_id: caller.request_id,
            method: request.method,
            path: request.path,
            content_type: request.content_type,
            body: request.body,
        },
        caller,
        service,
        call,
        started: now,
    })
}

/// Returns the class of a call, if the service has the call.
fn class_of(view: &View, request: &ServiceCallRequest) -> Option<Class> {
    let service = view.table.service(&request.service)?;
    let path = request.path.split('?').next().unwrap_or_default();
    let call = find_call(view, service, &request.method, path).ok()?;
    Some(call.class)
}

fn find_call(
    view: &View,
    service: ServiceKey,
    method: &str,
    path: &str,
) -> Result<ServiceCall, Refusal> {
    let calls = &view.table.services[service].calls;
    calls
        .iter()
        .find(|call| call.method == method && path_matches(&call.path, path))
        .cloned()
        .ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::NotFound,
                format!("the service has no call {method} {path}"),
                "check method and path, or ask your operator to add the call to the sheet",
            )
        })
}

/// Returns whether a path matches a pattern, in which a segment `*` stands for
/// any one segment.
fn path_matches(pattern: &str, path: &str) -> bool {
    let mut wanted = pattern.split('/');
    let mut given = path.split('/');
    loop {
        match (wanted.next(), given.next()) {
            (None, None) => return true,
            (Some("*"), Some(segment)) if !segment.is_empty() => {}
            (Some(wanted), Some(given)) if wanted == given => {}
            _ => return false,
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn record(view: &View, planned: &Planned, answered: &Result<ServiceAnswer, Refusal>, now: Now) {
    let ended = match answered {
        Ok(_) => "whole",
        Err(refusal) => refusal.kind.code(),
    };
    let organisation = &view.table.organisations[planned.caller.organisation]
        .row
        .name;
    metrics::histogram!(
        "hemlockhitch_answer_ms",
        "organisation" => organisation.to_string(),
        "class" => planned.call.class.as_str(),
        "ended" => ended,
    )
    .record((now.mono_ms - planned.started.mono_ms) as f64);
}
