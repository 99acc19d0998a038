//! Failures of processes, of the platform's key-value store and of data centres.

mod data_centre;
mod deferred;
mod endpoint;
mod node;
mod store;

use std::cell::RefCell;

use hemlockhitch_client::HttpError;
use hemlockhitch_standin::caller::CallReply;
use http::Method;
use serde_json::json;

use crate::support::{Fleet, FleetSize, wait_for};

const FLEET_SIZE: FleetSize = FleetSize {
    nodes: 3,
    engines: 3,
    services: 2,
};

/// Sends a hold and retries it until it receives a response other than a refusal with a
/// retry delay. Returns the status and body of that response, and prints the reason for
/// retrying whenever it changes.
async fn hold(fleet: &Fleet, node: usize, key: &str) -> (u16, String) {
    let last_reason = RefCell::new(String::new());
    wait_for("the hold gets a final response", || async {
        let reply = hold_once(fleet, node, key).await;
        let refusal = reply.as_ref().ok().and_then(CallReply::refusal);
        let is_retryable = refusal.is_some_and(|refusal| refusal.retry_after_ms.is_some());
        let retry_reason = match reply {
            Ok(reply) if !is_retryable => return Some((reply.status, reply.body)),
            Ok(reply) => format!("{} {}", reply.status, reply.body),
            Err(error) => format!("no response: {error:?}"),
        };
        if last_reason.replace(retry_reason.clone()) != retry_reason {
            eprintln!("retrying hold {key} on node {node}: {retry_reason}");
        }
        None
    })
    .await
}

/// Sends a hold once. Returns an error if no response was received.
async fn hold_once(fleet: &Fleet, node: usize, key: &str) -> Result<CallReply, HttpError> {
    let caller = fleet.caller(node);
    let call = caller.call(Method::POST, "pull/holds", Some(key), key);
    call.await
}

/// Returns how many times the plain services executed calls with this body.
async fn run_count(fleet: &Fleet, body: &str) -> u64 {
    let mut runs = 0;
    for service in &fleet.services {
        let stats = fleet.stats(service).await;
        let calls = stats["calls"].as_array().cloned().unwrap_or_default();
        let matching_calls = calls.iter().filter(|call| call["body"] == json!(body));
        runs += matching_calls
            .map(|call| call["runs"].as_u64().unwrap_or(0))
            .sum::<u64>();
    }
    runs
}
