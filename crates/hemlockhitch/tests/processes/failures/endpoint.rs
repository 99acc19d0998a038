//! Endpoints that crash, and requests that make them crash.

use hemlockhitch_standin::caller::ChatRequest;
use hemlockhitch_standin::engine::expected_answer;
use serde_json::json;

use super::PLAN;
use crate::support::{Fleet, FleetPlan};

/// Tokens of an answer of the stand-in engine.
const ANSWER_TOKENS: u32 = 16;

#[tokio::test(flavor = "multi_thread")]
async fn answers_come_whole_over_broken_late_and_crossed_chunks() {
    let fleet = Fleet::start(PLAN).await;
    let faults = [
        json!({"fault": "truncate_after", "tokens": 5}),
        json!({"fault": "crossed_answers", "on": true}),
        json!({"fault": "late_chunks", "on": true}),
    ];
    for (engine, fault) in fleet.engines.iter().zip(&faults) {
        fleet.fault(engine, fault).await;
    }
    for node in 0..3 {
        for index in 0..4 {
            let ask = ChatRequest::new("small", format!("question {node} {index}"));
            let reply = fleet.caller(node).chat(&ask).await.unwrap();
            assert!(reply.complete, "{:?}", reply.refusal);
            let expected = expected_answer(reply.version.as_str(), &ask.prompt, ANSWER_TOKENS);
            assert_eq!(reply.text, expected);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_two_endpoints_fall_to_one_request() {
    let plan = FleetPlan { engines: 6, ..PLAN };
    let fleet = Fleet::start(plan).await;
    for engine in &fleet.engines {
        let fault = json!({"fault": "crash_on", "marker": "poison"});
        fleet.fault(engine, &fault).await;
    }
    let ask = ChatRequest::new("small", "some poison");
    for node in [0, 1, 2, 0] {
        let reply = fleet.caller(node).chat(&ask).await.unwrap();
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
