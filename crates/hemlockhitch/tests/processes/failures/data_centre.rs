//! A data centre that is taken out and returns under load.

use std::time::Duration;

use hemlockhitch_standin::caller::{Caller, ChatRequest};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::PLAN;
use crate::support::{Fleet, data_centre, until};

/// Completions that each caller asks for, one after the other.
const ASKS: usize = 40;

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_leaves_and_returns_without_a_cut() {
    let fleet = Fleet::start(PLAN).await;
    let mut load = JoinSet::new();
    for node in 0..3 {
        load.spawn(ask_one_by_one(fleet.caller(node)));
    }
    sleep(Duration::from_millis(500)).await;
    fleet.apply(0, vec![data_centre("dc-b", true)]).await;
    let at_acceptance = started(&fleet).await;
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(
        started(&fleet).await,
        at_acceptance,
        "work after acceptance"
    );
    fleet.apply(2, vec![data_centre("dc-b", false)]).await;
    let whole = load.join_all().await;
    assert_eq!(whole.into_iter().sum::<usize>(), 3 * ASKS);
    until("the data centre works again", || async {
        let _ = fleet
            .caller(1)
            .chat(&ChatRequest::new("small", "back"))
            .await;
        started(&fleet).await > at_acceptance
    })
    .await;
}

/// Returns the completions that the data centre's engine has started.
async fn started(fleet: &Fleet) -> u64 {
    let stats = fleet.stats(&fleet.engines[1]).await;
    stats["started"].as_u64().unwrap()
}

/// Returns how many of the completions came whole.
async fn ask_one_by_one(caller: Caller) -> usize {
    let mut whole = 0;
    for index in 0..ASKS {
        let reply = caller
            .chat(&ChatRequest::new("small", format!("ask {index}")))
            .await;
        whole += usize::from(reply.is_ok_and(|reply| reply.complete));
    }
    whole
}
