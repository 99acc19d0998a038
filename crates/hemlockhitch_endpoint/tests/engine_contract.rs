//! Contract tests of [`HttpEngine`] against the engine stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockhitch_endpoint::HttpEngine;
use hemlockhitch_endpoint::engine::{
    Answer, ChatMessage, ChatRequest, Engine, EngineError, EngineRequest, Order,
};
use hemlockhitch_model::{Class, RequestId, VersionName};
use hemlockhitch_standin::engine::{
    self, EngineFault, EngineSettings, EngineStandin, EngineStats, expected_answer,
};
use hemlockhitch_standin::server::ClosedPort;
use tokio::time::{sleep, timeout};

const VERSION: &str = "m@1";
const PROMPT: &str = "which titles arrive on Wednesday?";
const TOKENS: u32 = 6;

/// How long a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn start(settings: EngineSettings) -> EngineStandin {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    engine::start(address, settings).await.unwrap()
}

fn settings() -> EngineSettings {
    EngineSettings::new()
        .versions([VERSION])
        .answer_tokens(TOKENS)
}

fn client() -> HttpEngine {
    HttpEngine::builder()
        .first_chunk_timeout_ms(10_000_u64)
        .chunk_timeout_ms(10_000_u64)
        .build()
}

fn request(id: u128) -> EngineRequest {
    let message = ChatMessage {
        role: "user".to_owned(),
        content: PROMPT.to_owned(),
    };
    EngineRequest {
        request_id: RequestId::from_u128(id),
        version: VersionName::from(VERSION),
        class: Class::Chat,
        body: ChatRequest {
            model: "m".to_owned(),
            messages: vec![message],
            stream: false,
            max_tokens: None,
            temperature: None,
        },
        resume_offset_tokens: 0,
    }
}

/// What a caller received of a response.
#[derive(Default)]
struct Received {
    text: String,
    tokens: u32,
    /// The finish reason, or the kind of the error.
    outcome: String,
    not_run: bool,
}

async fn receive(client: &HttpEngine, address: &str, request: EngineRequest) -> Received {
    let mut received = Received::default();
    if let Err(error) = read_stream(client, address, request, &mut received).await {
        received.outcome = format!("{:?}", error.kind());
        received.not_run = error.not_run();
    }
    received
}

async fn read_stream(
    client: &HttpEngine,
    address: &str,
    request: EngineRequest,
    received: &mut Received,
) -> Result<(), EngineError> {
    let mut stream = client.complete(address, request).await?;
    while let Some(chunk) = stream.next().await? {
        received.text.push_str(&chunk.text);
        received.tokens += chunk.tokens;
        received.outcome = chunk.finish_reason.unwrap_or_default();
    }
    Ok(())
}

async fn wait_for(engine: &EngineStandin, condition: impl Fn(&EngineStats) -> bool) -> EngineStats {
    let polling = async {
        while !condition(&engine.stats()) {
            sleep(Duration::from_millis(2)).await;
        }
    };
    let result = timeout(WAIT_TIMEOUT, polling).await;
    assert!(result.is_ok(), "state not reached: {:?}", engine.stats());
    engine.stats()
}

#[tokio::test]
async fn complete_response() {
    let engine = start(settings()).await;
    let received = receive(&client(), &engine.address().to_string(), request(1)).await;
    assert_eq!(received.text, expected_answer(VERSION, PROMPT, TOKENS));
    insta::assert_snapshot!(received.outcome, @"stop");
    let stats = wait_for(&engine, |stats| stats.finished == 1).await;
    assert_eq!(stats.started_by_request[&RequestId::from_u128(1)], 1);
}

#[tokio::test]
async fn response_under_each_fault() {
    // Columns: fault; whether the text is whole; tokens received; outcome; whether the
    // request did not run; mismatched and duplicate chunks dropped.
    let cases = [
        r#"{"fault":"clear"}"#,
        r#"{"fault":"crossed_answers","on":true}"#,
        r#"{"fault":"late_chunks","on":true}"#,
        r#"{"fault":"skip_token","offset_tokens":2}"#,
        r#"{"fault":"truncate_after","tokens":0}"#,
        r#"{"fault":"truncate_after","tokens":3}"#,
        r#"{"fault":"break_after","tokens":3}"#,
        r#"{"fault":"refuse_next","count":1}"#,
        r#"{"fault":"down","on":true}"#,
        r#"{"fault":"crash_on","marker":"titles"}"#,
        r#"{"fault":"errors","version":"m@1","error_ratio":1.0}"#,
        r#"{"fault":"warm_limit","limit":0}"#,
    ];
    let mut rows = String::new();
    for case in cases {
        let engine = start(settings()).await;
        engine.faults().set(serde_json::from_str(case).unwrap());
        let client = client();
        let received = receive(&client, &engine.address().to_string(), request(2)).await;
        let whole = received.text == expected_answer(VERSION, PROMPT, TOKENS);
        let prefix = expected_answer(VERSION, PROMPT, received.tokens);
        assert_eq!(received.text, prefix, "{case}");
        let dropped = client.dropped_chunks();
        rows.push_str(&format!(
            "{case} whole={whole} tokens={} outcome={} not_run={} mismatched={} duplicate={}\n",
            received.tokens,
            received.outcome,
            received.not_run,
            dropped.mismatched,
            dropped.duplicate,
        ));
    }
    insta::assert_snapshot!(rows, @r#"
    {"fault":"clear"} whole=true tokens=6 outcome=stop not_run=false mismatched=0 duplicate=0
    {"fault":"crossed_answers","on":true} whole=true tokens=6 outcome=stop not_run=false mismatched=3 duplicate=0
    {"fault":"late_chunks","on":true} whole=true tokens=6 outcome=stop not_run=false mismatched=0 duplicate=5
    {"fault":"skip_token","offset_tokens":2} whole=false tokens=2 outcome=Protocol not_run=false mismatched=0 duplicate=0
    {"fault":"truncate_after","tokens":0} whole=false tokens=0 outcome=Truncated not_run=false mismatched=0 duplicate=0
    {"fault":"truncate_after","tokens":3} whole=false tokens=3 outcome=Truncated not_run=false mismatched=0 duplicate=0
    {"fault":"break_after","tokens":3} whole=false tokens=3 outcome=Broken not_run=false mismatched=0 duplicate=0
    {"fault":"refuse_next","count":1} whole=false tokens=0 outcome=Refused not_run=true mismatched=0 duplicate=0
    {"fault":"down","on":true} whole=false tokens=0 outcome=Broken not_run=false mismatched=0 duplicate=0
    {"fault":"crash_on","marker":"titles"} whole=false tokens=0 outcome=Broken not_run=false mismatched=0 duplicate=0
    {"fault":"errors","version":"m@1","error_ratio":1.0} whole=false tokens=0 outcome=Failed not_run=false mismatched=0 duplicate=0
    {"fault":"warm_limit","limit":0} whole=false tokens=0 outcome=Refused not_run=true mismatched=0 duplicate=0
    "#);
}

#[tokio::test]
async fn stalled_stream_times_out() {
    let engine = start(settings()).await;
    let tokens = Some(2);
    engine.faults().set(EngineFault::StallAfter { tokens });
    let client = HttpEngine::builder().chunk_timeout_ms(100_u64).build();
    let received = receive(&client, &engine.address().to_string(), request(3)).await;
    insta::assert_snapshot!(
        format!("{} after {} tokens", received.outcome, received.tokens),
        @"TimedOut after 2 tokens"
    );
    wait_for(&engine, |stats| stats.cancelled == 1).await;
}

#[tokio::test]
async fn mismatched_chunks_do_not_extend_the_timeout() {
    let engine = start(settings().token_ms(20.0)).await;
    let (on, tokens) = (true, Some(2));
    engine.faults().set(EngineFault::CrossedAnswers { on });
    engine.faults().set(EngineFault::StallAfter { tokens });
    let client = HttpEngine::builder().chunk_timeout_ms(1_000_u64).build();
    let address = engine.address().to_string();
    let received = timeout(WAIT_TIMEOUT, receive(&client, &address, request(4))).await;
    let received = received.expect("mismatched chunks extended the timeout");
    insta::assert_snapshot!(received.outcome, @"TimedOut");
    assert!(client.dropped_chunks().mismatched > 1);
}

#[tokio::test]
async fn resumed_completion_yields_the_same_text() {
    let first = start(settings()).await;
    let tokens = Some(2);
    first.faults().set(EngineFault::BreakAfter { tokens });
    let second = start(settings()).await;
    let client = client();
    let head = receive(&client, &first.address().to_string(), request(5)).await;
    let rest = EngineRequest {
        resume_offset_tokens: head.tokens,
        ..request(5)
    };
    let tail = receive(&client, &second.address().to_string(), rest).await;
    let whole = format!("{}{}", head.text, tail.text);
    assert_eq!(whole, expected_answer(VERSION, PROMPT, TOKENS));
    insta::assert_snapshot!(format!("{} + {}", head.tokens, tail.tokens), @"2 + 4");
}

#[tokio::test]
async fn dropping_the_stream_cancels_the_request() {
    let engine = start(settings().answer_tokens(100_000_u32).token_ms(5.0)).await;
    let client = client();
    let address = engine.address().to_string();
    let mut stream = client.complete(&address, request(6)).await.unwrap();
    stream.next().await.unwrap();
    drop(stream);
    let stats = wait_for(&engine, |stats| stats.cancelled == 1).await;
    assert_eq!(stats.running, 0);
}

#[tokio::test]
async fn cancelled_request_ends_truncated() {
    let engine = start(settings().answer_tokens(100_000_u32).token_ms(5.0)).await;
    let client = client();
    let address = engine.address().to_string();
    let running = tokio::spawn({
        let (client, address) = (client.clone(), address.clone());
        async move { receive(&client, &address, request(7)).await }
    });
    wait_for(&engine, |stats| stats.running == 1).await;
    client
        .cancel(&address, RequestId::from_u128(7))
        .await
        .unwrap();
    insta::assert_snapshot!(running.await.unwrap().outcome, @"Truncated");
    wait_for(&engine, |stats| stats.cancelled == 1).await;
}

#[tokio::test]
async fn closed_port_is_unreachable() {
    let closed = ClosedPort::reserve().unwrap();
    let address = closed.address().unwrap().to_string();
    let received = receive(&client(), &address, request(8)).await;
    insta::assert_snapshot!(
        format!("{} not_run={}", received.outcome, received.not_run),
        @"Unreachable not_run=true"
    );
}

#[tokio::test]
async fn version_that_is_not_served_is_refused() {
    let engine = start(settings()).await;
    let mut request = request(9);
    request.version = VersionName::from("m@2");
    let received = receive(&client(), &engine.address().to_string(), request).await;
    insta::assert_snapshot!(received.outcome, @"Refused");
    assert_eq!(engine.stats().started, 0);
}

#[tokio::test]
async fn empty_conversation_is_a_bad_request() {
    let engine = start(settings()).await;
    let mut request = request(10);
    request.body.messages.clear();
    let received = receive(&client(), &engine.address().to_string(), request).await;
    insta::assert_snapshot!(received.outcome, @"BadRequest");
}

#[tokio::test]
async fn cold_engine_enforces_its_cold_limit() {
    let cold = settings()
        .cold_start_ms(600_000_u64)
        .cold_limit(1_u32)
        .answer_tokens(100_000_u32)
        .token_ms(5.0);
    let engine = start(cold).await;
    let client = client();
    let address = engine.address().to_string();
    let open_stream = client.complete(&address, request(11)).await.unwrap();
    let received = receive(&client, &address, request(12)).await;
    insta::assert_snapshot!(received.outcome, @"Refused");
    let stats = engine.stats();
    insta::assert_snapshot!(
        format!("overloads={} peak_cold={}", stats.overloads, stats.peak_running_cold),
        @"overloads=1 peak_cold=1"
    );
    let report = client.load(&address).await.unwrap();
    insta::assert_snapshot!(
        format!("running={} limit={} cold={}", report.running, report.limit, report.cold),
        @"running=1 limit=1 cold=true"
    );
    drop(open_stream);
}

#[tokio::test]
async fn load_report_lags() {
    let lagging = settings().load_lag_ms(600_000_u64).token_ms(600_000.0);
    let engine = start(lagging).await;
    let client = client();
    let address = engine.address().to_string();
    let open_stream = client.complete(&address, request(13)).await.unwrap();
    let report = client.load(&address).await.unwrap();
    insta::assert_snapshot!(report.running, @"0");
    drop(open_stream);
}

#[tokio::test]
async fn stale_orders_are_fenced() {
    let checking = start(settings()).await;
    let ignoring = start(settings().checks_fencing(false)).await;
    let client = client();
    let mut rows = String::new();
    for (name, engine) in [("checks", checking), ("ignores", ignoring)] {
        for fencing in [7, 7, 6, 8] {
            let versions = vec![VersionName::from("m@2")];
            let order = Order { fencing, versions };
            let result = client.order(&engine.address().to_string(), order).await;
            rows.push_str(&format!("{name} {fencing}: {:?}\n", result.unwrap()));
        }
    }
    insta::assert_snapshot!(rows, @"
    checks 7: Accepted
    checks 7: Accepted
    checks 6: Fenced { highest: 7 }
    checks 8: Accepted
    ignores 7: Accepted
    ignores 7: Accepted
    ignores 6: Accepted
    ignores 8: Accepted
    ");
}

#[tokio::test]
async fn kv_cache_moves_between_engines() {
    let first = start(settings()).await;
    let second = start(settings()).await;
    let client = client();
    let mut long = request(14);
    long.body.messages[0].content = "title ".repeat(200);
    receive(&client, &first.address().to_string(), long.clone()).await;
    let id = long.request_id;
    let handle = client.export_kv(&first.address().to_string(), id).await;
    let target = second.address().to_string();
    client.import_kv(&target, &handle.unwrap()).await.unwrap();
    receive(&client, &target, long).await;
    insta::assert_snapshot!(
        format!("{} {}", first.stats().cached_chars, second.stats().cached_chars),
        @"0 1024"
    );
}

#[tokio::test]
async fn export_of_an_unknown_request_is_refused() {
    let engine = start(settings()).await;
    let id = RequestId::from_u128(15);
    let exported = client().export_kv(&engine.address().to_string(), id).await;
    insta::assert_snapshot!(format!("{:?}", exported.unwrap_err().kind()), @"Refused");
}
