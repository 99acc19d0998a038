//! A request from a caller to an endpoint and back, over real sockets.

use hemlockhitch_standin::caller::ChatRequest;
use hemlockhitch_standin::engine::expected_answer;
use http::Method;

use crate::support::{Fleet, FleetPlan, data_centre, until};

/// Tokens of an answer of the stand-in engine.
const ANSWER_TOKENS: u32 = 16;

const PLAN: FleetPlan = FleetPlan {
    nodes: 3,
    engines: 3,
    services: 2,
};

#[tokio::test(flavor = "multi_thread")]
async fn requests_come_back_whole_and_holds_run_once() {
    let fleet = Fleet::start(PLAN).await;

    for (node, stream) in [(0, true), (1, false), (2, true)] {
        let mut ask = ChatRequest::new("small", "what is new this week");
        ask.stream = stream;
        let reply = fleet.caller(node).chat(&ask).await.unwrap();
        assert_eq!(reply.status, 200, "{:?}", reply.refusal);
        assert!(reply.complete);
        let expected = expected_answer(reply.version.as_str(), &ask.prompt, ANSWER_TOKENS);
        assert_eq!(reply.text, expected);
    }

    let mut bodies = Vec::new();
    for node in 0..3 {
        let caller = fleet.caller(node);
        let held = caller.call(Method::POST, "pull/holds", Some("k-1"), "variant 7");
        let held = held.await.unwrap();
        assert_eq!(held.status, 200, "{}", held.body);
        bodies.push(held.body);
    }
    assert!(bodies.iter().all(|body| *body == bodies[0]), "{bodies:?}");
    let mut runs = 0;
    for service in &fleet.services {
        runs += fleet.stats(service).await["runs"].as_u64().unwrap();
    }
    assert_eq!(runs, 1);

    let refused = fleet.caller(0).chat(&ChatRequest::new("secret", "x")).await;
    let refusal = refused.unwrap().refusal.unwrap();
    assert_eq!(refusal.code, "not_allowed");
    assert!(refusal.not_run);
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_is_in_force_on_every_node() {
    let fleet = Fleet::start(PLAN).await;
    fleet.apply(1, vec![data_centre("dc-a", true)]).await;
    let before = fleet.stats(&fleet.engines[0]).await["started"].clone();
    for node in 0..3 {
        for _ in 0..4 {
            let reply = fleet
                .caller(node)
                .chat(&ChatRequest::new("small", "x"))
                .await;
            assert!(reply.unwrap().complete);
        }
    }
    assert_eq!(fleet.stats(&fleet.engines[0]).await["started"], before);
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_node_cuts_no_request() {
    let mut fleet = Fleet::start(PLAN).await;
    let caller = fleet.caller(2);
    let prompts = (0..8).map(|index| format!("prompt {index}"));
    let asks: Vec<_> = prompts
        .map(|prompt| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.chat(&ChatRequest::new("small", prompt)).await })
        })
        .collect();
    until("the requests run", || async {
        let mut running = 0;
        for engine in &fleet.engines {
            running += fleet.stats(engine).await["started"].as_u64().unwrap();
        }
        running >= 8
    })
    .await;
    fleet.nodes[2].signal("TERM");
    for ask in asks {
        let reply = ask.await.unwrap().unwrap();
        assert!(reply.complete, "{:?}", reply.refusal);
    }
    let ended = crate::support::eventually("the node ends", || {
        let ended = fleet.nodes[2].ended();
        async move { ended }
    });
    assert!(ended.await.success());
}
