//! Nodes that are killed, suspended or replaced.

use std::time::Duration;

use hemlockhitch_standin::caller::{Caller, ChatRequest};
use http::Method;
use serde_json::json;
use tokio::time::sleep;

use super::{FLEET_SIZE, hold, hold_once, run_count};
use crate::support::{Fleet, wait_for, wait_until};

/// Longer than a lease remains valid after its last renewal.
const LEASE_EXPIRY_WAIT: Duration = Duration::from_secs(12);

#[tokio::test(flavor = "multi_thread")]
async fn hold_runs_once_when_its_node_is_killed() {
    let mut fleet = Fleet::start(FLEET_SIZE).await;
    for service in &fleet.services {
        fleet
            .inject_fault(service, &json!({"fault": "slow", "delay_ms": 1_500}))
            .await;
    }
    let caller = fleet.caller(0);
    let interrupted = tokio::spawn(async move {
        caller
            .call(Method::POST, "pull/holds", Some("k-1"), "k-1")
            .await
    });
    sleep(Duration::from_millis(700)).await;
    fleet.nodes[0].kill();
    assert!(
        interrupted.await.unwrap().is_err(),
        "the node was killed before it responded"
    );
    let retried = hold_once(&fleet, 1, "k-1").await.unwrap();
    assert!([409, 503].contains(&retried.status), "{}", retried.body);
    sleep(Duration::from_secs(2)).await;
    assert!(run_count(&fleet, "k-1").await <= 1);
    // The other nodes take over what the killed node owned.
    for key in 0..8 {
        let body = format!("after-{key}");
        let (status, response) = hold(&fleet, 1 + key % 2, &body).await;
        assert_eq!(status, 200, "{response}");
        assert_eq!(run_count(&fleet, &body).await, 1);
    }
    let reused = hold_once(&fleet, 2, "k-1").await.unwrap();
    assert_ne!(reused.status, 200);
    assert!(run_count(&fleet, "k-1").await <= 1);
}

/// Guards against work that is started again because its node is silent: the hold runs at its
/// service while its node is frozen, and a repetition at another node does not run.
#[tokio::test(flavor = "multi_thread")]
async fn hold_of_a_silent_node_is_neither_run_again_nor_given_up() {
    let fleet = Fleet::start(FLEET_SIZE).await;
    for service in &fleet.services {
        fleet
            .inject_fault(service, &json!({"fault": "slow", "delay_ms": 1_500}))
            .await;
    }
    let caller = fleet.caller(0);
    let silent = tokio::spawn(async move {
        caller
            .call(Method::POST, "pull/holds", Some("s-1"), "s-1")
            .await
    });
    sleep(Duration::from_millis(700)).await;
    fleet.nodes[0].signal("STOP");
    let repeated = hold_once(&fleet, 1, "s-1").await.unwrap();
    assert!([409, 503].contains(&repeated.status), "{}", repeated.body);
    sleep(Duration::from_secs(2)).await;
    fleet.nodes[0].signal("CONT");
    let answered = silent.await.unwrap().unwrap();
    assert_eq!(answered.status, 200, "{}", answered.body);
    let (status, stored) = hold(&fleet, 1, "s-1").await;
    assert_eq!((status, stored), (200, answered.body));
    assert_eq!(run_count(&fleet, "s-1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_owner_does_nothing_on_a_lapsed_lease() {
    let fleet = Fleet::start(FLEET_SIZE).await;
    for key in 0..8 {
        hold(&fleet, 0, &format!("before-{key}")).await;
    }
    fleet.nodes[0].signal("STOP");
    sleep(LEASE_EXPIRY_WAIT).await;
    for key in 0..8 {
        let (status, body) = hold(&fleet, 1, &format!("during-{key}")).await;
        assert_eq!(status, 200, "{body}");
    }
    fleet.nodes[0].signal("CONT");
    for key in 0..8 {
        for phase in ["before", "during"] {
            let body = format!("{phase}-{key}");
            let (status, response) = hold(&fleet, 0, &body).await;
            assert_eq!(status, 200, "{response}");
            assert_eq!(run_count(&fleet, &body).await, 1, "{body}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn replacing_every_node_interrupts_no_request() {
    let mut fleet = Fleet::start(FLEET_SIZE).await;
    let first = fleet
        .caller(0)
        .chat(&ChatRequest::new("small", "first"))
        .await;
    let first = first.unwrap();
    for _ in 0..3 {
        let requests = send_in_background(&fleet.caller(0));
        fleet.nodes[0].signal("TERM");
        fleet.add_node();
        for request in requests {
            let is_complete = request.await.unwrap();
            assert!(is_complete, "a response was interrupted");
        }
        let exit_status = wait_for("the node exits", || {
            let exit_status = fleet.nodes[0].exit_status();
            async move { exit_status }
        });
        assert!(exit_status.await.success());
        fleet.nodes.remove(0);
        fleet.publish_vms().await;
        fleet.wait_until_ready().await;
        fleet.wait_until_serving().await;
    }
    let request = ChatRequest::new("small", "later").session(first.session);
    let later = fleet.caller(0).chat(&request).await.unwrap();
    assert_eq!(later.version, first.version);
    let (status, _) = hold(&fleet, 1, "after").await;
    assert_eq!(status, 200);
    wait_until("the hold has run", || async {
        run_count(&fleet, "after").await == 1
    })
    .await;
}

/// Starts several completions. Each handle returns whether the response is complete.
fn send_in_background(caller: &Caller) -> Vec<tokio::task::JoinHandle<bool>> {
    (0..6)
        .map(|index| {
            let caller = caller.clone();
            tokio::spawn(async move {
                let request = ChatRequest::new("small", format!("while stopping {index}"));
                caller
                    .chat(&request)
                    .await
                    .is_ok_and(|reply| reply.complete)
            })
        })
        .collect()
}
