//! Admission and roll-outs on the request path.

use hemlockhitch_config::configuration::RollOutState;
use hemlockhitch_policy::guard::GuardSettings;
use hemlockhitch_router::{Refusal, RefusalKind};
use tokio::task::JoinSet;

use crate::support::{
    Bench, IN_FLIGHT, chat_call, named_organisation, organisation, roll_out, version,
};

/// Requests that are sent while a roll-out runs.
const REQUESTS: usize = 600;

/// Dispatches of one completion at the most.
const DISPATCHES: u64 = 4;

#[tokio::test]
async fn version_that_fails_is_stopped_within_its_bound() {
    let mut bench = Bench::new();
    bench.apply(vec![roll_out(50.0, RollOutState::Running)]);
    bench.engine.fail_version("small@2");
    for index in 0..REQUESTS {
        let _ = bench
            .chat(chat_call("small", &format!("ask {index}")))
            .await;
    }
    let stopped = bench.stopped.recv().await.unwrap();
    insta::assert_snapshot!(stopped.version, @"small@2");
    let settings = GuardSettings::new();
    let pairs = settings.pairs_to_stop(1.0).unwrap();
    let bound = DISPATCHES * (pairs + u64::from(settings.outstanding_limit));
    let exposed = bench.engine.requests_of("small@2");
    assert!(exposed as u64 <= bound, "{exposed} > {bound}");
    for index in 0..50 {
        let after = bench
            .chat(chat_call("small", &format!("after {index}")))
            .await;
        assert_eq!(after.unwrap().version, "small@1");
    }
    assert_eq!(bench.engine.requests_of("small@2"), exposed);
}

#[tokio::test]
async fn stopped_roll_out_resumes_only_by_an_operator() {
    let mut bench = Bench::new();
    bench.apply(vec![roll_out(100.0, RollOutState::Running)]);
    bench.roll_outs.stop("small@2".into());
    let version = bench.chat(chat_call("small", "one")).await.unwrap().version;
    insta::assert_snapshot!(version, @"small@1");
    bench.apply(vec![roll_out(100.0, RollOutState::Stopped)]);
    let version = bench.chat(chat_call("small", "two")).await.unwrap().version;
    insta::assert_snapshot!(version, @"small@1");
    bench.apply(vec![roll_out(100.0, RollOutState::Running)]);
    let version = bench
        .chat(chat_call("small", "three"))
        .await
        .unwrap()
        .version;
    insta::assert_snapshot!(version, @"small@2");
}

#[tokio::test]
async fn stopped_version_gets_no_session_when_its_baseline_is_withdrawn() {
    let mut bench = Bench::new();
    bench.apply(vec![roll_out(100.0, RollOutState::Running)]);
    bench.apply(vec![version("small@1", true)]);
    bench.roll_outs.stop("small@2".into());
    let refusal = bench.chat(chat_call("small", "one")).await.unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::Withdrawn);
    assert!(refusal.not_run);
    assert!(bench.engine.calls().is_empty());
}

#[tokio::test(start_paused = true)]
async fn bills_that_wait_for_the_ledger_are_bounded() {
    let bench = Bench::new();
    bench.ledger.set_down(true);
    for index in 0..IN_FLIGHT {
        let served = bench
            .chat(chat_call("small", &format!("ask {index}")))
            .await;
        assert!(served.is_ok(), "{index}");
        // Callers of an organisation stay under its limit.
        bench.clock.advance(1_000);
    }
    let refusal = bench
        .chat(chat_call("small", "one more"))
        .await
        .unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::Overloaded);
    assert!(refusal.not_run);
    bench.ledger.set_down(false);
    bench.router.in_flight().idle().await;
    assert_eq!(bench.ledger.bills().len(), IN_FLIGHT);
}

#[tokio::test(start_paused = true)]
async fn organisation_over_its_limit_is_refused_at_once() {
    let mut bench = Bench::new();
    bench.apply(vec![organisation(5)]);
    let mut refusals: Vec<Refusal> = Vec::new();
    for index in 0..40 {
        let asked = bench
            .chat(chat_call("small", &format!("ask {index}")))
            .await;
        refusals.extend(asked.err());
    }
    assert!(!refusals.is_empty());
    for refusal in &refusals {
        assert_eq!(refusal.kind, RefusalKind::Overloaded);
        assert!(refusal.not_run);
        assert!(refusal.retry_after_ms.is_some());
    }
    assert_eq!(bench.engine.calls().len(), 40 - refusals.len());
}

#[tokio::test]
async fn waiting_request_runs_when_another_ends() {
    let bench = Bench::new();
    // Short runs show the queue that the wait will be short too.
    for index in 0..60 {
        let quick = bench
            .chat(chat_call("small", &format!("quick {index}")))
            .await;
        assert!(quick.is_ok());
    }
    bench.router.resize(1, 1);
    let mut running = JoinSet::new();
    for index in 0..6 {
        let router = bench.router.clone();
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
async fn request_that_waited_is_not_dispatched_once_the_node_is_cut_off() {
    let bench = Bench::new();
    bench.router.resize(1, 1);
    let running = bench
        .router
        .chat(chat_call("small", "first"))
        .await
        .unwrap();
    let router = bench.router.clone();
    let waiting = tokio::spawn(async move { router.chat(chat_call("small", "second")).await });
    while bench.router.in_flight().count() < 2 {
        tokio::task::yield_now().await;
    }
    bench.gate.close();
    drop(running);
    let refusal = waiting.await.unwrap().err().unwrap();
    assert_eq!(refusal.kind, RefusalKind::NotServing);
    assert!(refusal.not_run);
    assert_eq!(bench.engine.calls().len(), 1);
}

#[tokio::test]
async fn request_that_waited_keeps_its_organisation_when_the_table_changes() {
    let mut bench = Bench::new();
    bench.router.resize(1, 1);
    let running = bench
        .router
        .chat(chat_call("small", "first"))
        .await
        .unwrap();
    let router = bench.router.clone();
    let waiting = tokio::spawn(async move { router.chat(chat_call("small", "second")).await });
    while bench.router.in_flight().count() < 2 {
        tokio::task::yield_now().await;
    }
    // It sorts before acme, so that acme's key changes; it may use no version.
    bench.apply(vec![named_organisation("aardvark")]);
    drop(running);
    assert!(waiting.await.unwrap().is_ok());
}
