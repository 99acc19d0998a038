//! Tests of the errors that the HTTP client returns when the key-value service fails.

use std::time::Duration;

use hemlockhitch_client::HttpClient;
use hemlockhitch_ports::StoreCallCounts;
use hemlockhitch_ports::key_value::message::Done;
use hemlockhitch_ports::key_value::{
    HttpKeyValue, KeyValue, KeyValueError, KeyValueErrorKind, Swap,
};
use hemlockhitch_standin::key_value::{CALLS_PATH, FAULTS_PATH, Faults, KeyValueStandin, start};
use hemlockhitch_standin::server::{Server, response};
use http::StatusCode;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Client timeout in cases that do not wait for it.
const LONG_TIMEOUT_MS: u64 = 30_000;

/// Client timeout in cases that wait for it.
const SHORT_TIMEOUT_MS: u64 = 200;

/// Response delay that exceeds the short timeout, but not the wait for the effect of
/// the write.
const DELAY_MS: u64 = 3_000;

struct Case {
    name: &'static str,
    faults: Faults,
    timeout_ms: u64,
    /// Error kind that a write fails with, if it fails.
    write: Option<KeyValueErrorKind>,
    /// Whether the write takes effect.
    written: bool,
    /// Error kind that a read fails with, if it fails.
    read: Option<KeyValueErrorKind>,
}

fn cases() -> [Case; 6] {
    let healthy = || Case {
        name: "healthy",
        faults: Faults::default(),
        timeout_ms: LONG_TIMEOUT_MS,
        write: None,
        written: true,
        read: None,
    };
    let lost_prefix = |prefix: &str| Faults {
        lost_prefix: Some(prefix.to_owned()),
        ..Faults::default()
    };
    [
        healthy(),
        Case {
            name: "down before the write",
            faults: Faults {
                down: true,
                ..Faults::default()
            },
            write: Some(KeyValueErrorKind::Unknown),
            written: false,
            read: Some(KeyValueErrorKind::Unavailable),
            ..healthy()
        },
        Case {
            name: "response lost after the write",
            faults: Faults {
                lost_answers: 1,
                ..Faults::default()
            },
            write: Some(KeyValueErrorKind::Unknown),
            ..healthy()
        },
        Case {
            name: "response lost for the key",
            faults: lost_prefix("a/"),
            write: Some(KeyValueErrorKind::Unknown),
            ..healthy()
        },
        Case {
            name: "response lost for other keys",
            faults: lost_prefix("b/"),
            ..healthy()
        },
        Case {
            name: "slower than the timeout",
            faults: Faults {
                delay_ms: DELAY_MS,
                ..Faults::default()
            },
            timeout_ms: SHORT_TIMEOUT_MS,
            write: Some(KeyValueErrorKind::Unknown),
            read: Some(KeyValueErrorKind::Unavailable),
            ..healthy()
        },
    ]
}

#[tokio::test]
async fn faults_map_to_error_kinds() {
    for case in cases() {
        let standin = standin().await;
        let client = client(&standin, case.timeout_ms);
        standin.faults().set(case.faults);
        let written = client.swap(Swap::create("a/1", "value")).await;
        assert_eq!(kind(&written), case.write, "write, {}", case.name);
        let read = client.get("a/1").await;
        assert_eq!(kind(&read), case.read, "get, {}", case.name);
        let listed = client.list("a/", None, 1).await;
        assert_eq!(kind(&listed), case.read, "list, {}", case.name);
        let watched = client.watch("a/", 0, 0).await;
        assert_eq!(kind(&watched), case.read, "watch, {}", case.name);
        let effect = has_taken_effect(&standin, case.written).await;
        assert_eq!(effect, case.written, "effect, {}", case.name);
    }
}

#[tokio::test]
async fn lost_response_leaves_any_write_outcome_unknown() {
    let standin = standin().await;
    let client = client(&standin, LONG_TIMEOUT_MS);
    let unknown = Some(KeyValueErrorKind::Unknown);
    let lease = client.lease_grant(LONG_TIMEOUT_MS).await.unwrap();
    let attached = Swap::create("a/1", "").lease(lease);
    client.swap(attached).await.unwrap();
    standin.faults().set(Faults {
        lost_answers: 3,
        ..Faults::default()
    });
    assert_eq!(kind(&client.lease_grant(LONG_TIMEOUT_MS).await), unknown);
    assert_eq!(kind(&client.lease_renew(lease).await), unknown);
    assert_eq!(kind(&client.lease_revoke(lease).await), unknown);
    assert_eq!(client.get("a/1").await.unwrap(), None);
    assert_eq!(standin.faults().get(), Faults::default());
}

#[tokio::test]
async fn refused_connection_is_unavailable() {
    let standin = standin().await;
    let client = client(&standin, LONG_TIMEOUT_MS);
    let address = standin.address();
    drop(standin);
    // The listener is closed by another task.
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let unavailable = Some(KeyValueErrorKind::Unavailable);
    let written = client.swap(Swap::create("a/1", "")).await;
    assert_eq!(kind(&written), unavailable);
    assert_eq!(kind(&client.get("a/1").await), unavailable);
    assert_eq!(kind(&client.lease_grant(1).await), unavailable);
}

#[tokio::test]
async fn connect_timeout_is_unavailable() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    // Connections are never accepted, so the backlog fills up and further connection
    // attempts get no response.
    let mut queued = Vec::new();
    let connect_timeout = Duration::from_millis(SHORT_TIMEOUT_MS);
    while let Ok(stream) = timeout(connect_timeout, TcpStream::connect(address)).await {
        queued.push(stream.unwrap());
    }
    let client = HttpKeyValue::new(address.to_string());
    let written = client.swap(Swap::create("a/1", "")).await;
    assert_eq!(kind(&written), Some(KeyValueErrorKind::Unavailable));
}

#[tokio::test]
async fn only_a_valid_refusal_proves_no_effect() {
    use KeyValueErrorKind::{Protocol, Unavailable, Unknown};
    let table = [
        (200, "<html>", Unknown, Protocol),
        (409, "{}", Unknown, Unavailable),
        (502, "<html>", Unknown, Unavailable),
        (
            503,
            r#"{"code":"unavailable","detail":""}"#,
            Unavailable,
            Unavailable,
        ),
        (
            400,
            r#"{"code":"malformed","detail":""}"#,
            Protocol,
            Protocol,
        ),
    ];
    for (status, body, write, read) in table {
        let status = StatusCode::from_u16(status).unwrap();
        let handler = move |_| async move { response(status, "text/html", body) };
        let server = Server::start(([127, 0, 0, 1], 0).into(), handler).await;
        let server = server.unwrap();
        let client = HttpKeyValue::new(server.address().to_string());
        let client = client.timeout_ms(LONG_TIMEOUT_MS);
        let written = client.swap(Swap::create("a/1", "")).await;
        assert_eq!(kind(&written), Some(write), "write, {status}");
        assert_eq!(kind(&client.get("a/1").await), Some(read), "read, {status}");
    }
}

#[tokio::test]
async fn pending_watch_fails_when_the_service_goes_down() {
    let standin = standin().await;
    let client = client(&standin, LONG_TIMEOUT_MS);
    let watch = tokio::spawn(async move { client.watch("a/", 0, LONG_TIMEOUT_MS).await });
    while standin.calls().watches == 0 {
        tokio::task::yield_now().await;
    }
    standin.faults().set(Faults {
        down: true,
        ..Faults::default()
    });
    let watched = watch.await.unwrap();
    assert_eq!(kind(&watched), Some(KeyValueErrorKind::Unavailable));
}

#[tokio::test]
async fn watch_timeout_includes_its_wait() {
    let standin = standin().await;
    let client = client(&standin, 1_000);
    let batch = client.watch("a/", 0, 1_500).await.unwrap();
    assert!(batch.written.is_empty());
}

#[tokio::test]
async fn client_and_service_count_each_call_once() {
    let standin = standin().await;
    let client = client(&standin, LONG_TIMEOUT_MS);
    client.swap(Swap::create("a/1", "")).await.unwrap();
    let lease = client.lease_grant(LONG_TIMEOUT_MS).await.unwrap();
    client.lease_renew(lease).await.unwrap();
    client.lease_revoke(lease).await.unwrap();
    client.get("a/1").await.unwrap();
    client.list("a/", None, 1).await.unwrap();
    client.watch("a/", 2, 100).await.unwrap();
    standin.faults().set(Faults {
        down: true,
        ..Faults::default()
    });
    client.get("a/1").await.unwrap_err();
    let counts = client.calls().counts();
    assert_eq!(standin.calls(), counts);
    insta::assert_snapshot!(format!("{counts:?}"), @"StoreCallCounts { reads: 3, writes: 4, watches: 1 }");
}

#[tokio::test]
async fn faults_and_call_counts_over_http() {
    let standin = standin().await;
    client(&standin, LONG_TIMEOUT_MS).get("a/1").await.unwrap();
    let address = standin.address().to_string();
    let request_timeout = Duration::from_millis(LONG_TIMEOUT_MS);
    let http = HttpClient::new();
    let set = async |faults: &str| {
        let faults: serde_json::Value = serde_json::from_str(faults).unwrap();
        let result = http.post_json::<Done>(&address, FAULTS_PATH, &faults, request_timeout);
        result.await.is_ok()
    };
    assert!(set(r#"{"lost_answers": 2}"#).await);
    assert!(!set(r#"{"lost_answer": 3}"#).await);
    assert_eq!(standin.faults().get().lost_answers, 2);
    let counts: StoreCallCounts = http
        .get_json(&address, CALLS_PATH, request_timeout)
        .await
        .unwrap();
    assert_eq!(counts, standin.calls());
    assert_eq!(counts.reads, 1);
}

async fn standin() -> KeyValueStandin {
    start(([127, 0, 0, 1], 0).into()).await.unwrap()
}

fn client(standin: &KeyValueStandin, timeout_ms: u64) -> HttpKeyValue {
    HttpKeyValue::new(standin.address().to_string()).timeout_ms(timeout_ms)
}

fn kind<T>(result: &Result<T, KeyValueError>) -> Option<KeyValueErrorKind> {
    result.as_ref().err().map(KeyValueError::kind)
}

/// Returns whether the write has taken effect, and waits for it if it is expected.
async fn has_taken_effect(standin: &KeyValueStandin, expected: bool) -> bool {
    let wait_ms = if expected { LONG_TIMEOUT_MS } else { 0 };
    let batch = standin.store().watch("a/", 0, wait_ms).await.unwrap();
    !batch.written.is_empty()
}
