//! Calls to plain services.

mod dispatch;
mod non_idempotent;

use bytes::Bytes;
use hemlockhitch_config::configuration::ServiceCall;
use hemlockhitch_endpoint::service::{ServiceAnswer, ServiceRequest};
use hemlockhitch_model::{Class, Now, ServiceKey};

use crate::backend::Backend;
use crate::caller::{Caller, CallerHeaders};
use crate::refusal::{Refusal, RefusalKind};
use crate::router::Router;
use crate::view::RoutingView;

/// A call to a plain service as received.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCallRequest {
    /// Unparsed request headers.
    pub headers: CallerHeaders,
    /// Name of the service.
    pub service: String,
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query relative to the service, starting with `/`.
    pub path: String,
    /// Content type of the body, if the caller sent one.
    pub content_type: Option<String>,
    /// Request body.
    pub body: Bytes,
}

/// An authenticated call with the configured service and call that it matches.
#[derive(Clone, Debug)]
pub(crate) struct PlannedCall {
    pub(crate) caller: Caller,
    pub(crate) service: ServiceKey,
    pub(crate) call: ServiceCall,
    pub(crate) request: ServiceRequest,
    pub(crate) started_at: Now,
}

impl<B: Backend> Router<B> {
    /// Sends a call to a plain service and returns its answer.
    ///
    /// # Errors
    ///
    /// Fails when the call is refused or no endpoint answers it.
    pub async fn call(&self, call: ServiceCallRequest) -> Result<ServiceAnswer, Refusal> {
        let now = self.now();
        let view = self.view();
        let class = call_class(&view, &call);
        let admitted = self.admit(call.headers.clone(), &view, class, now).await?;
        let _permit = admitted.permit;
        let caller = admitted.caller;
        let request_id = caller.request_id;
        let view = admitted.view;
        let planned =
            plan(&view, caller, call, now).map_err(|refusal| refusal.request(request_id))?;
        let result = if planned.call.idempotent {
            dispatch::run_idempotent(self, &view, &planned).await
        } else {
            non_idempotent::run_once(self, &view, &planned).await
        };
        record_answer_time(&view, &planned, &result, self.now());
        result.map_err(|refusal| refusal.request(request_id))
    }
}

fn plan(
    view: &RoutingView,
    caller: Caller,
    request: ServiceCallRequest,
    now: Now,
) -> Result<PlannedCall, Refusal> {
    let service = view.table.service(&request.service).ok_or_else(|| {
        Refusal::not_run(
            RefusalKind::NotFound,
            format!("service {:?} does not exist", request.service),
            "check the path of the call",
        )
    })?;
    let path = request.path.split('?').next().unwrap_or_default();
    let call = find_call(view, service, &request.method, path)?;
    Ok(PlannedCall {
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
        started_at: now,
    })
}

/// Returns the class of a call, if the call is configured.
fn call_class(view: &RoutingView, request: &ServiceCallRequest) -> Option<Class> {
    let service = view.table.service(&request.service)?;
    let path = request.path.split('?').next().unwrap_or_default();
    let call = find_call(view, service, &request.method, path).ok()?;
    Some(call.class)
}

fn find_call(
    view: &RoutingView,
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

/// Returns whether a path matches a pattern, in which a segment `*` matches any
/// one non-empty segment.
fn path_matches(pattern: &str, path: &str) -> bool {
    let mut pattern_segments = pattern.split('/');
    let mut path_segments = path.split('/');
    loop {
        match (pattern_segments.next(), path_segments.next()) {
            (None, None) => return true,
            (Some("*"), Some(segment)) if !segment.is_empty() => {}
            (Some(expected), Some(segment)) if expected == segment => {}
            _ => return false,
        }
    }
}

/// Records the time from the arrival of a call to its answer or refusal.
#[allow(clippy::cast_precision_loss)]
fn record_answer_time(
    view: &RoutingView,
    planned: &PlannedCall,
    result: &Result<ServiceAnswer, Refusal>,
    now: Now,
) {
    let ended = match result {
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
    .record((now.mono_ms - planned.started_at.mono_ms) as f64);
}
