//! Failures of processes, of the platform's store and of data centres.

mod data_centre;
mod deferred;
mod endpoint;
mod node;
mod store;

use std::cell::RefCell;

use hemlockhitch_standin::caller::CallReply;
use http::Method;
use serde_json::json;

use crate::support::{Fleet, FleetPlan, eventually};

const PLAN: FleetPlan = FleetPlan {
    nodes: 3,
    engines: 3,
    services: 2,
};

/// Sends a hold until it gets an answer other than a refusal that says when to
/// come back; returns status and body. Prints each new reason for a wait.
async fn hold(fleet: &Fleet, node: usize, key: &str) -> (u16, String) {
    let last_wait = RefCell::new(String::new());
    eventually("the hold ends", || async {
        let reply = hold_once(fleet, node, key).await;
        let refusal = reply.as_ref().and_then(CallReply::refusal);
        let come_back = refusal.is_some_and(|refusal| refusal.retry_after_ms.is_some());
        let wait = match reply {
            Some(reply) if !come_back => return Some((reply.status, reply.body)),
            Some(reply) => format!("{} {}", reply.status, reply.body),
            None => "no answer".to_owned(),
        };
        if last_wait.replace(wait.clone()) != wait {
            eprintln!("hold {key} at node {node} waits: {wait}");
        }
        None
    })
    .await
}

/// Sends a hold once; `None` means that no answer came.
async fn hold_once(fleet: &Fleet, node: usize, key: &str) -> Option<CallReply> {
    let caller = fleet.caller(node);
    let call = caller.call(Method::POST, "pull/holds", Some(key), key);
    call.await.ok()
}

/// Returns how often calls with this body took effect.
async fn runs_of(fleet: &Fleet, body: &str) -> u64 {
    let mut runs = 0;
    for service in &fleet.services {
        let stats = fleet.stats(service).await;
        let calls = stats["calls"].as_array().cloned().unwrap_or_default();
        let of_body = calls.iter().filter(|call| call["body"] == json!(body));
        runs += of_body
            .map(|call| call["runs"].as_u64().unwrap_or(0))
            .sum::<u64>();
    }
    runs
}
