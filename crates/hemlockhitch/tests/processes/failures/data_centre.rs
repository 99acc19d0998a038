//! A data centre that is taken out of service and put back under load.

use std::time::Duration;

use hemlockhitch_standin::caller::{Caller, ChatRequest};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::FLEET_SIZE;
use crate::support::{Fleet, data_centre, wait_until};

/// Number of completions that each caller requests one after another.
const REQUEST_COUNT: usize = 40;

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_is_taken_out_and_put_back_without_interruption() {
    let fleet = Fleet::start(FLEET_SIZE).await;
    let mut load = JoinSet::new();
    for node in 0..3 {
        load.spawn(send_sequentially(fleet.caller(node)));
    }
    sleep(Duration::from_millis(500)).await;
    fleet.apply(0, vec![data_centre("dc-b", true)]).await;
    let at_acceptance = started_count(&fleet).await;
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(
        started_count(&fleet).await,
        at_acceptance,
        "the data centre got requests after the change was accepted"
    );
    fleet.apply(2, vec![data_centre("dc-b", false)]).await;
    let complete_counts = load.join_all().await;
    assert_eq!(
        complete_counts.into_iter().sum::<usize>(),
        3 * REQUEST_COUNT
    );
    wait_until("the data centre gets requests again", || async {
        let _ = fleet
            .caller(1)
            .chat(&ChatRequest::new("small", "back"))
            .await;
        started_count(&fleet).await > at_acceptance
    })
    .await;
}

/// Returns the number of completions that the engine of `dc-b` has started.
async fn started_count(fleet: &Fleet) -> u64 {
    let stats = fleet.stats(&fleet.engines[1]).await;
    stats["started"].as_u64().unwrap()
}

/// Requests completions one after another and returns the number of complete responses.
async fn send_sequentially(caller: Caller) -> usize {
    let mut complete_count = 0;
    for index in 0..REQUEST_COUNT {
        let reply = caller
            .chat(&ChatRequest::new("small", format!("ask {index}")))
            .await;
        complete_count += usize::from(reply.is_ok_and(|reply| reply.complete));
    }
    complete_count
}
