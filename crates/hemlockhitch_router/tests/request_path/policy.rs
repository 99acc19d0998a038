//! Admission and roll-outs on the request path.

use hemlockhitch_config::configuration::RollOutState;
use hemlockhitch_policy::guard::GuardSettings;
use hemlockhitch_router::{Refusal, RefusalKind};
use tokio::task::JoinSet;

use crate::support::{
    Harness, MAX_IN_FLIGHT, chat_call, named_organisation, organisation, roll_out, version,
};

/// Number of requests sent during a roll-out.
const REQUESTS: usize = 600;

/// Maximum number of dispatches of one completion.
const MAX_DISPATCHES: u64 = 4;

#[tokio::test]
async fn version_that_fails_is_stopped_within_its_bound() {
    let mut harness = Harness::new();
    harness.apply(vec![roll_out(50.0, RollOutState::Running)]);
    harness.engine.fail_version("small@2");
    for index in 0..REQUESTS {
        let _ = harness
            .chat(chat_call("small", &format!("ask {index}")))
            .await;
    }
    let stopped = harness.stopped.recv().await.unwrap();
    insta::assert_snapshot!(stopped.version, @"small@2");
    let settings = GuardSettings::new();
    let pairs = settings.pairs_to_stop(1.0).unwrap();
    let bound = MAX_DISPATCHES * (pairs + u64::from(settings.outstanding_limit));
    let exposed = harness.engine.request_count("small@2");
    assert!(exposed as u64 <= bound, "{exposed} > {bound}");
    for index in 0..50 {
        let after = harness
            .chat(chat_call("small", &format!("after {index}")))
            .await;
        assert_eq!(after.unwrap().version, "small@1");
    }
    assert_eq!(harness.engine.request_count("small@2"), exposed);
}

#[tokio::test]
async fn stopped_roll_out_resumes_only_by_an_operator() {
    let mut harness = Harness::new();
    harness.apply(vec![roll_out(100.0, RollOutState::Running)]);
    harness.roll_outs.stop("small@2".into());
    let version = harness
        .chat(chat_call("small", "one"))
        .await
        .unwrap()
        .version;
    insta::assert_snapshot!(version, @"small@1");
    harness.apply(vec![roll_out(100.0, RollOutState::Stopped)]);
    let version = harness
        .chat(chat_call("small", "two"))
        .await
        .unwrap()
        .version;
    insta::assert_snapshot!(version, @"small@1");
    harness.apply(vec![roll_out(100.0, RollOutState::Running)]);
    let version = harness
        .chat(chat_call("small", "three"))
        .await
        .unwrap()
        .version;
    insta::assert_snapshot!(version, @"small@2");
}

#[tokio::test]
async fn stopped_version_gets_no_session_when_its_baseline_is_withdrawn() {
    let mut harness = Harness::new();
    harness.apply(vec![roll_out(100.0, RollOutState::Running)]);
    harness.apply(vec![version("small@1", true)]);
    harness.roll_outs.stop("small@2".into());
    let refusal = harness.chat(chat_call("small", "one")).await.unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::Withdrawn);
    assert!(refusal.not_run);
    assert!(harness.engine.calls().is_empty());
}

#[tokio::test(start_paused = true)]
async fn undelivered_bills_count_towards_the_in_flight_limit() {
    let harness = Harness::new();
    harness.ledger.set_down(true);
    for index in 0..MAX_IN_FLIGHT {
        let served = harness
            .chat(chat_call("small", &format!("ask {index}")))
            .await;
        assert!(served.is_ok(), "{index}");
        // Keeps the organisation under its rate limit.
        harness.clock.advance(1_000);
    }
    let refusal = harness
        .chat(chat_call("small", "one more"))
        .await
        .unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::Overloaded);
    assert!(refusal.not_run);
    harness.ledger.set_down(false);
    harness.router.in_flight().wait_until_idle().await;
    assert_eq!(harness.ledger.bills().len(), MAX_IN_FLIGHT);
}

#[tokio::test(start_paused = true)]
async fn organisation_over_its_limit_is_refused_at_once() {
    let mut harness = Harness::new();
    harness.apply(vec![organisation(5)]);
    let mut refusals: Vec<Refusal> = Vec::new();
    for index in 0..40 {
        let result = harness
            .chat(chat_call("small", &format!("ask {index}")))
            .await;
        refusals.extend(result.err());
    }
    assert!(!refusals.is_empty());
    for refusal in &refusals {
        assert_eq!(refusal.kind, RefusalKind::Overloaded);
        assert!(refusal.not_run);
        assert!(refusal.retry_after_ms.is_some());
    }
    assert_eq!(harness.engine.calls().len(), 40 - refusals.len());
}

#[tokio::test]
async fn queued_request_runs_when_another_ends() {
    let harness = Harness::new();
    // Short requests make the policy estimate a short wait, so that it queues the
    // next ones.
    for index in 0..60 {
        let result = harness
            .chat(chat_call("small", &format!("quick {index}")))
            .await;
        assert!(result.is_ok());
    }
    harness.router.set_concurrency(1, 1);
    let mut running = JoinSet::new();
    for index in 0..6 {
        let router = harness.router.clone();
        running.spawn(async move {
            let call = chat_call("small", &format!("ask {index}"));
            let mut answer = router.chat(call).await?;
            while answer.relay.next().await?.is_some() {}
            Ok::<(), Refusal>(())
        });
    }
    let ended = running.join_all().await;
    assert!(ended.iter().all(Result::is_ok), "{ended:?}");
}

#[tokio::test]
async fn queued_request_is_not_dispatched_once_the_node_is_isolated() {
    let harness = Harness::new();
    harness.router.set_concurrency(1, 1);
    let running = harness
        .router
        .chat(chat_call("small", "first"))
        .await
        .unwrap();
    let router = harness.router.clone();
    let waiting = tokio::spawn(async move { router.chat(chat_call("small", "second")).await });
    while harness.router.in_flight().count() < 2 {
        tokio::task::yield_now().await;
    }
    harness.serving_check.stop_serving();
    drop(running);
    let refusal = waiting.await.unwrap().err().unwrap();
    assert_eq!(refusal.kind, RefusalKind::NotServing);
    assert!(refusal.not_run);
    assert_eq!(harness.engine.calls().len(), 1);
}

#[tokio::test]
async fn queued_request_keeps_its_organisation_when_the_table_changes() {
    let mut harness = Harness::new();
    harness.router.set_concurrency(1, 1);
    let running = harness
        .router
        .chat(chat_call("small", "first"))
        .await
        .unwrap();
    let router = harness.router.clone();
    let waiting = tokio::spawn(async move { router.chat(chat_call("small", "second")).await });
    while harness.router.in_flight().count() < 2 {
        tokio::task::yield_now().await;
    }
    // Sorts before acme, so that the key of acme changes. It may use no version, so
    // a request under the stale key would be refused.
    harness.apply(vec![named_organisation("aardvark")]);
    drop(running);
    assert!(waiting.await.unwrap().is_ok());
}
