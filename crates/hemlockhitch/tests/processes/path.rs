//! Requests from a caller to an endpoint and back, over real sockets.

use hemlockhitch_standin::caller::ChatRequest;
use hemlockhitch_standin::engine::expected_answer;
use http::Method;

use crate::support::{Fleet, FleetSize, data_centre, wait_until};

/// Maximum number of tokens that the stand-in engine generates.
const ANSWER_TOKENS: u32 = 16;

const FLEET_SIZE: FleetSize = FleetSize {
    nodes: 3,
    engines: 3,
    services: 2,
};

#[tokio::test(flavor = "multi_thread")]
async fn responses_are_complete_and_holds_run_once() {
    let fleet = Fleet::start(FLEET_SIZE).await;

    for (node, stream) in [(0, true), (1, false), (2, true)] {
        let mut request = ChatRequest::new("small", "what is new this week");
        request.stream = stream;
        let reply = fleet.caller(node).chat(&request).await.unwrap();
        assert_eq!(reply.status, 200, "{:?}", reply.refusal);
        assert!(reply.complete);
        let expected = expected_answer(reply.version.as_str(), &request.prompt, ANSWER_TOKENS);
        assert_eq!(reply.text, expected);
    }

    let mut bodies = Vec::new();
    for node in 0..3 {
        let caller = fleet.caller(node);
        let call = caller.call(Method::POST, "pull/holds", Some("k-1"), "variant 7");
        let reply = call.await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        bodies.push(reply.body);
    }
    assert!(bodies.iter().all(|body| *body == bodies[0]), "{bodies:?}");
    let mut runs = 0;
    for service in &fleet.services {
        runs += fleet.stats(service).await["runs"].as_u64().unwrap();
    }
    assert_eq!(runs, 1);

    let reply = fleet.caller(0).chat(&ChatRequest::new("secret", "x")).await;
    let refusal = reply.unwrap().refusal.unwrap();
    assert_eq!(refusal.code, "not_allowed");
    assert!(refusal.not_run);
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_takes_effect_on_every_node() {
    let fleet = Fleet::start(FLEET_SIZE).await;
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
async fn stopping_node_interrupts_no_request() {
    let mut fleet = Fleet::start(FLEET_SIZE).await;
    let caller = fleet.caller(2);
    let prompts = (0..8).map(|index| format!("prompt {index}"));
    let requests: Vec<_> = prompts
        .map(|prompt| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.chat(&ChatRequest::new("small", prompt)).await })
        })
        .collect();
    wait_until("the requests start", || async {
        let mut started = 0;
        for engine in &fleet.engines {
            started += fleet.stats(engine).await["started"].as_u64().unwrap();
        }
        started >= 8
    })
    .await;
    fleet.nodes[2].signal("TERM");
    for request in requests {
        let reply = request.await.unwrap().unwrap();
        assert!(reply.complete, "{:?}", reply.refusal);
    }
    let exit_status = crate::support::wait_for("the node exits", || {
        let exit_status = fleet.nodes[2].exit_status();
        async move { exit_status }
    });
    assert!(exit_status.await.success());
}
