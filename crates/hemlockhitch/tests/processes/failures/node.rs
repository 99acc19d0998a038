//! Nodes that die, freeze or are replaced.

use std::time::Duration;

use hemlockhitch_standin::caller::{Caller, ChatRequest};
use http::Method;
use serde_json::json;
use tokio::time::sleep;

use super::{PLAN, hold, hold_once, runs_of};
use crate::support::{Fleet, eventually, until};

/// Longer than a lease lasts after its last renewal.
const LEASE_LAPSES: Duration = Duration::from_secs(12);

#[tokio::test(flavor = "multi_thread")]
async fn hold_runs_once_when_its_node_is_killed() {
    let mut fleet = Fleet::start(PLAN).await;
    for service in &fleet.services {
        fleet
            .fault(service, &json!({"fault": "slow", "delay_ms": 1_500}))
            .await;
    }
    let caller = fleet.caller(0);
    let lost = tokio::spawn(async move {
        caller
            .call(Method::POST, "pull/holds", Some("k-1"), "k-1")
            .await
    });
    sleep(Duration::from_millis(700)).await;
    fleet.nodes[0].kill();
    assert!(
        lost.await.unwrap().is_err(),
        "the node died before it answered"
    );
    let again = hold_once(&fleet, 1, "k-1").await.unwrap();
    assert!([409, 503].contains(&again.status), "{}", again.body);
    sleep(Duration::from_secs(2)).await;
    assert!(runs_of(&fleet, "k-1").await <= 1);
    // The other nodes take over what the dead one owned.
    for key in 0..8 {
        let body = format!("after-{key}");
        let (status, answer) = hold(&fleet, 1 + key % 2, &body).await;
        assert_eq!(status, 200, "{answer}");
        assert_eq!(runs_of(&fleet, &body).await, 1);
    }
    let reused = hold_once(&fleet, 2, "k-1").await.unwrap();
    assert_ne!(reused.status, 200);
    assert!(runs_of(&fleet, "k-1").await <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_owner_does_nothing_on_a_lapsed_lease() {
    let fleet = Fleet::start(PLAN).await;
    for key in 0..8 {
        hold(&fleet, 0, &format!("before-{key}")).await;
    }
    fleet.nodes[0].signal("STOP");
    sleep(LEASE_LAPSES).await;
    for key in 0..8 {
        let (status, body) = hold(&fleet, 1, &format!("during-{key}")).await;
        assert_eq!(status, 200, "{body}");
    }
    fleet.nodes[0].signal("CONT");
    for key in 0..8 {
        for when in ["before", "during"] {
            let body = format!("{when}-{key}");
            let (status, answer) = hold(&fleet, 0, &body).await;
            assert_eq!(status, 200, "{answer}");
            assert_eq!(runs_of(&fleet, &body).await, 1, "{body}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn replacing_every_node_cuts_no_request() {
    let mut fleet = Fleet::start(PLAN).await;
    let first = fleet
        .caller(0)
        .chat(&ChatRequest::new("small", "first"))
        .await;
    let first = first.unwrap();
    for _ in 0..3 {
        let asks = ask_in_background(&fleet.caller(0));
        fleet.nodes[0].signal("TERM");
        fleet.add_node();
        for ask in asks {
            let reply = ask.await.unwrap();
            assert!(reply, "an answer was cut");
        }
        let ended = eventually("the node ends", || {
            let ended = fleet.nodes[0].ended();
            async move { ended }
        });
        assert!(ended.await.success());
        fleet.nodes.remove(0);
        fleet.publish_vms().await;
        fleet.wait_until_ready().await;
        fleet.wait_until_serving().await;
    }
    let ask = ChatRequest::new("small", "later").session(first.session);
    let later = fleet.caller(0).chat(&ask).await.unwrap();
    assert_eq!(later.version, first.version);
    let (status, _) = hold(&fleet, 1, "after").await;
    assert_eq!(status, 200);
    until("the hold ran", || async {
        runs_of(&fleet, "after").await == 1
    })
    .await;
}

/// Starts some completions; each handle tells whether the answer came whole.
fn ask_in_background(caller: &Caller) -> Vec<tokio::task::JoinHandle<bool>> {
    (0..6)
        .map(|index| {
            let caller = caller.clone();
            tokio::spawn(async move {
                let ask = ChatRequest::new("small", format!("while stopping {index}"));
                caller.chat(&ask).await.is_ok_and(|reply| reply.complete)
            })
        })
        .collect()
}
