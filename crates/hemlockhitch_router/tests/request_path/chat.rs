//! Chat completions through the request path.

use crate::support::{
    EngineScript, Harness, allowance, chat_call, data_centre, headers, join_names, version,
};
use hemlockhitch_endpoint::engine::EngineErrorKind;
use hemlockhitch_router::{CallerHeaders, Refusal};

fn summarise(refusal: &Refusal) -> String {
    format!(
        "{} {} not_run={}",
        refusal.kind.status(),
        refusal.kind.code(),
        refusal.not_run
    )
}

#[tokio::test]
async fn whole_answer_is_billed_once() {
    let harness = Harness::new();
    let answer = harness.chat(chat_call("small", "hello")).await.unwrap();
    insta::assert_snapshot!(answer.text, @"0.1.2.3.4.5.");
    insta::assert_snapshot!(answer.version, @"small@1");
    insta::assert_snapshot!(harness.ledger.bills().join("\n"), @"small@1 at e-1: 10+6 tokens, 22 micros");
}

#[tokio::test]
async fn refusals_before_dispatch() {
    let cases: [(&str, CallerHeaders, &str, &str); 6] = [
        ("no token", CallerHeaders::default(), "small", "hello"),
        ("unknown model", headers(), "huge", "hello"),
        ("not allowed", headers(), "large", "hello"),
        ("version not allowed", headers(), "large@1", "hello"),
        (
            "bad class",
            CallerHeaders {
                class: Some("urgent".to_owned()),
                ..headers()
            },
            "small",
            "hello",
        ),
        (
            "bad session",
            CallerHeaders {
                session: Some("x~y".to_owned()),
                ..headers()
            },
            "small",
            "hello",
        ),
    ];
    let harness = Harness::new();
    let mut results = String::new();
    for (name, headers, model, prompt) in cases {
        let mut call = chat_call(model, prompt);
        call.headers = headers;
        let refusal = harness.chat(call).await.unwrap_err();
        results.push_str(&format!("{name}: {}\n", summarise(&refusal)));
    }
    insta::assert_snapshot!(results, @r"
    no token: 401 unauthenticated not_run=true
    unknown model: 404 not_found not_run=true
    not allowed: 403 not_allowed not_run=true
    version not allowed: 403 not_allowed not_run=true
    bad class: 400 bad_request not_run=true
    bad session: 400 bad_request not_run=true
    ");
    assert!(harness.engine.calls().is_empty());
}

#[tokio::test]
async fn session_keeps_its_version_while_shares_move() {
    let mut harness = Harness::new();
    let first = harness.chat(chat_call("small", "one")).await.unwrap();
    harness.apply(vec![allowance("small@1", 0.0), allowance("small@2", 100.0)]);
    let mut call = chat_call("small", "two");
    call.headers.session = Some(first.session.clone());
    let second = harness.chat(call).await.unwrap();
    let fresh = harness.chat(chat_call("small", "three")).await.unwrap();
    insta::assert_snapshot!(
        format!("{} {} {}", first.version, second.version, fresh.version),
        @"small@1 small@1 small@2"
    );
}

#[tokio::test]
async fn withdrawn_version_gets_no_new_work() {
    let mut harness = Harness::new();
    let first = harness.chat(chat_call("small", "one")).await.unwrap();
    harness.apply(vec![version("small@1", true)]);
    let mut call = chat_call("small", "two");
    call.headers.session = Some(first.session);
    let refusal = harness.chat(call).await.unwrap_err();
    insta::assert_snapshot!(summarise(&refusal), @"410 version_withdrawn not_run=true");
    assert_eq!(harness.engine.calls().len(), 1);
    let fresh = harness.chat(chat_call("small", "three")).await.unwrap();
    insta::assert_snapshot!(fresh.version, @"small@2");
}

#[tokio::test]
async fn broken_answer_is_resumed_whole_on_the_same_version() {
    let harness = Harness::new();
    harness.engine.script(
        "e-1",
        EngineScript::FailAfter(2, EngineErrorKind::Truncated),
    );
    harness
        .engine
        .script("e-2", EngineScript::Fail(EngineErrorKind::Refused));
    harness
        .engine
        .script("e-3", EngineScript::FailAfter(4, EngineErrorKind::TimedOut));
    let answer = harness.chat(chat_call("small", "hello")).await.unwrap();
    insta::assert_snapshot!(answer.text, @"0.1.2.3.4.5.");
    insta::assert_snapshot!(join_names(&harness.engine.calls()), @"e-1 e-2 e-3 e-2");
    assert_eq!(harness.ledger.bills().len(), 1);
}

#[tokio::test]
async fn request_that_crashes_endpoints_stops_after_two() {
    let harness = Harness::new();
    harness
        .engine
        .set_default_script(EngineScript::FailAfter(1, EngineErrorKind::Broken));
    let first = harness
        .chat(chat_call("small", "poison"))
        .await
        .unwrap_err();
    let again = harness
        .chat(chat_call("small", "poison"))
        .await
        .unwrap_err();
    insta::assert_snapshot!(summarise(&first), @"422 crashes_endpoints not_run=false");
    insta::assert_snapshot!(summarise(&again), @"422 crashes_endpoints not_run=true");
    assert_eq!(harness.engine.calls().len(), 2);
}

#[tokio::test]
async fn refusal_after_a_dispatch_does_not_say_not_run() {
    let mut harness = Harness::new();
    harness.apply(vec![data_centre("dc-b", true)]);
    harness
        .engine
        .script("e-1", EngineScript::FailAfter(1, EngineErrorKind::TimedOut));
    harness
        .engine
        .script("e-2", EngineScript::Fail(EngineErrorKind::Unreachable));
    let refusal = harness.chat(chat_call("small", "hello")).await.unwrap_err();
    insta::assert_snapshot!(summarise(&refusal), @"503 no_endpoint not_run=false");
}

#[tokio::test]
async fn data_centre_that_is_out_gets_no_new_work() {
    let mut harness = Harness::new();
    harness.apply(vec![data_centre("dc-a", true)]);
    for _ in 0..4 {
        harness.chat(chat_call("small", "hello")).await.unwrap();
    }
    assert!(
        harness
            .engine
            .calls()
            .iter()
            .all(|name| name == "e-3" || name == "e-4")
    );
    harness.apply(vec![data_centre("dc-b", true)]);
    let refusal = harness.chat(chat_call("small", "hello")).await.unwrap_err();
    insta::assert_snapshot!(summarise(&refusal), @"503 no_endpoint not_run=true");
}

#[tokio::test]
async fn cancelled_answer_is_billed_for_what_was_relayed() {
    let harness = Harness::new();
    let mut answer = harness
        .router
        .chat(chat_call("small", "hello"))
        .await
        .unwrap();
    answer.relay.next().await.unwrap();
    answer.relay.next().await.unwrap();
    drop(answer);
    harness.router.in_flight().wait_until_idle().await;
    insta::assert_snapshot!(harness.ledger.bills().join("\n"), @"small@1 at e-1: 2+2 tokens, 6 micros");
}

#[tokio::test(start_paused = true)]
async fn bill_is_delivered_after_the_ledger_returns() {
    let harness = Harness::new();
    harness.ledger.set_down(true);
    harness.chat(chat_call("small", "hello")).await.unwrap();
    assert!(harness.ledger.bills().is_empty());
    harness.ledger.set_down(false);
    harness.router.in_flight().wait_until_idle().await;
    assert_eq!(harness.ledger.bills().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn resumed_answer_waits_for_a_free_slot() {
    let harness = Harness::new();
    harness
        .engine
        .script("e-1", EngineScript::FailAfter(2, EngineErrorKind::TimedOut));
    for endpoint in ["e-2", "e-3", "e-4"] {
        let refused = EngineScript::Fail(EngineErrorKind::Refused);
        harness.engine.script(endpoint, refused);
    }
    let mut answer = harness
        .router
        .chat(chat_call("small", "hello"))
        .await
        .unwrap();
    let mut text = answer.relay.next().await.unwrap().unwrap().text;
    harness.clock.advance(60_000);
    while let Some(chunk) = answer.relay.next().await.unwrap() {
        text.push_str(&chunk.text);
    }
    insta::assert_snapshot!(text, @"0.1.2.3.4.5.");
}
