//! Endpoints with faulty streams, and requests that crash endpoints.

use hemlockhitch_standin::caller::ChatRequest;
use hemlockhitch_standin::engine::expected_answer;
use serde_json::json;

use super::FLEET_SIZE;
use crate::support::{Fleet, FleetSize};

/// Maximum number of tokens that the stand-in engine generates.
const ANSWER_TOKENS: u32 = 16;

#[tokio::test(flavor = "multi_thread")]
async fn responses_are_complete_despite_truncated_late_and_mismatched_chunks() {
    let fleet = Fleet::start(FLEET_SIZE).await;
    let faults = [
        json!({"fault": "truncate_after", "tokens": 5}),
        json!({"fault": "crossed_answers", "on": true}),
        json!({"fault": "late_chunks", "on": true}),
    ];
    for (engine, fault) in fleet.engines.iter().zip(&faults) {
        fleet.inject_fault(engine, fault).await;
    }
    for node in 0..3 {
        for index in 0..4 {
            let request = ChatRequest::new("small", format!("question {node} {index}"));
            let reply = fleet.caller(node).chat(&request).await.unwrap();
            assert!(reply.complete, "{:?}", reply.refusal);
            let expected = expected_answer(reply.version.as_str(), &request.prompt, ANSWER_TOKENS);
            assert_eq!(reply.text, expected);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_request_crashes_at_most_two_endpoints() {
    let size = FleetSize {
        engines: 6,
        ..FLEET_SIZE
    };
    let fleet = Fleet::start(size).await;
    for engine in &fleet.engines {
        let fault = json!({"fault": "crash_on", "marker": "poison"});
        fleet.inject_fault(engine, &fault).await;
    }
    let request = ChatRequest::new("small", "some poison");
    for node in [0, 1, 2, 0] {
        let reply = fleet.caller(node).chat(&request).await.unwrap();
        assert!(!reply.complete);
        assert_eq!(reply.refusal.unwrap().code, "crashes_endpoints");
    }
    let mut crashes = 0;
    for engine in &fleet.engines {
        crashes += fleet.stats(engine).await["crashes"].as_u64().unwrap();
    }
    assert_eq!(crashes, 2);
    let harmless = fleet
        .caller(1)
        .chat(&ChatRequest::new("small", "harmless"))
        .await;
    assert!(harmless.unwrap().complete);
}
