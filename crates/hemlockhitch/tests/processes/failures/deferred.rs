//! Deferred requests during the failure of a node and of the platform's key-value store.

use std::time::Duration;

use hemlockhitch_client::{HttpClient, json_request};
use hemlockhitch_config::Row;
use hemlockhitch_config::configuration::Organisation;
use hemlockhitch_ports::key_value::{HttpKeyValue, KeyValue};
use hemlockhitch_standin::engine::expected_answer;
use http::{HeaderName, HeaderValue, Method};
use serde_json::{Value, json};

use super::FLEET_SIZE;
use crate::support::{CALLER_TOKEN, Fleet, wait_for, wait_until};

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// API token of another organisation.
const OTHER_TOKEN: &str = "token-other";

/// SHA-256 of [`OTHER_TOKEN`].
const OTHER_TOKEN_SHA256: &str = "d7e9f180b7683a1b689c2d63c1cb26ca4565db3ca683c7adaa39be75c9cda7c8";

/// Maximum number of tokens that the stand-in engine generates.
const ANSWER_TOKENS: u32 = 16;

/// Factor by which the engines are slowed down, so that the job is still running when its
/// node is killed.
const SLOWDOWN_RATIO: f64 = 60.0;

#[tokio::test(flavor = "multi_thread")]
async fn job_of_a_killed_node_is_completed_by_another() {
    let mut fleet = Fleet::start(FLEET_SIZE).await;
    fleet.apply(0, vec![other_organisation()]).await;
    for engine in &fleet.engines {
        fleet
            .inject_fault(
                engine,
                &json!({"fault": "slow", "factor_ratio": SLOWDOWN_RATIO}),
            )
            .await;
    }
    let (status, accepted) = post(&fleet, 0, "j-1", "overnight").await;
    assert_eq!(status, 202, "{accepted}");
    let id = accepted["id"].as_str().unwrap().to_owned();
    let (_, repeated) = post(&fleet, 1, "j-1", "overnight").await;
    assert_eq!(repeated, accepted);
    let (status, refusal) = post(&fleet, 1, "j-1", "another body").await;
    assert_eq!(status, 422, "{refusal}");
    let killed = wait_for("a node claims the job", || claim_holder(&fleet)).await;
    fleet.nodes[killed].kill();
    for engine in &fleet.engines {
        fleet.inject_fault(engine, &json!({"fault": "clear"})).await;
    }
    let (surviving, other) = ((killed + 1) % 3, (killed + 2) % 3);
    let (_, after_kill) = get(&fleet, surviving, &id, CALLER_TOKEN).await;
    assert_eq!(after_kill["state"], "running", "{after_kill}");
    let done = wait_for("the job is done", || async {
        let (_, job) = get(&fleet, surviving, &id, CALLER_TOKEN).await;
        (job["state"] == "done").then_some(job)
    })
    .await;
    let answer = &done["answer"];
    let version = answer["model"].as_str().unwrap();
    let expected = expected_answer(version, "overnight", ANSWER_TOKENS);
    assert_eq!(answer["choices"][0]["message"]["content"], expected);
    assert_eq!(get(&fleet, other, &id, CALLER_TOKEN).await, (200, done));
    assert_eq!(get(&fleet, other, &id, OTHER_TOKEN).await.0, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn job_is_refused_as_not_run_while_the_store_is_down() {
    let fleet = Fleet::start(FLEET_SIZE).await;
    fleet
        .inject_fault(&fleet.key_value, &json!({"down": true}))
        .await;
    let (status, refusal) = post(&fleet, 0, "j-2", "x").await;
    assert_eq!(status, 503, "{refusal}");
    assert_eq!(refusal["not_run"], true);
    assert!(refusal["retry_after_ms"].is_u64());
    fleet
        .inject_fault(&fleet.key_value, &json!({"down": false}))
        .await;
    fleet
        .inject_fault(&fleet.key_value, &json!({"lost_answers": 2}))
        .await;
    let accepted = wait_for("the job is accepted", || async {
        let (status, accepted) = post(&fleet, 0, "j-2", "x").await;
        (status == 202).then_some(accepted)
    })
    .await;
    let id = accepted["id"].as_str().unwrap().to_owned();
    wait_until("the job is done", || async {
        get(&fleet, 1, &id, CALLER_TOKEN).await.1["state"] == "done"
    })
    .await;
}

fn other_organisation() -> Row {
    Row::Organisation(Organisation {
        name: "other".into(),
        token_sha256: OTHER_TOKEN_SHA256.to_owned(),
        weight: 1,
        limit_per_s: 1_000,
    })
}

/// Returns the index of the node that holds the claim of the only job.
async fn claim_holder(fleet: &Fleet) -> Option<usize> {
    let store = HttpKeyValue::new(fleet.key_value.address());
    let claims = store.list("deferred/claim/", None, 1).await.ok()?;
    let claim: Value = serde_json::from_str(&claims.entries.first()?.value).ok()?;
    let name = claim["node"].as_str()?;
    name.strip_prefix("n-")?.parse().ok()
}

async fn post(fleet: &Fleet, node: usize, key: &str, prompt: &str) -> (u16, Value) {
    let body = json!({
        "model": "small",
        "messages": [{"role": "user", "content": prompt}],
    });
    let headers = [("idempotency-key", key)];
    let body = body.to_string().into_bytes();
    send(fleet, node, Method::POST, "/v1/deferred", &headers, body).await
}

async fn get(fleet: &Fleet, node: usize, id: &str, token: &str) -> (u16, Value) {
    let bearer = format!("Bearer {token}");
    let headers = [("authorization", bearer.as_str())];
    let path = format!("/v1/deferred/{id}");
    send(fleet, node, Method::GET, &path, &headers, Vec::new()).await
}

async fn send(
    fleet: &Fleet,
    node: usize,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: Vec<u8>,
) -> (u16, Value) {
    let address = fleet.nodes[node].named_address("callers");
    let mut request = json_request(method, &address, path, body).unwrap();
    let bearer = format!("Bearer {CALLER_TOKEN}");
    let token = ("authorization", bearer.as_str());
    for (name, value) in std::iter::once(&token).chain(headers) {
        let value = HeaderValue::from_str(value).unwrap();
        request
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
    let response = HttpClient::new()
        .fetch(request, REQUEST_TIMEOUT)
        .await
        .unwrap();
    let body = serde_json::from_slice(&response.body).unwrap_or_default();
    (response.status.as_u16(), body)
}
