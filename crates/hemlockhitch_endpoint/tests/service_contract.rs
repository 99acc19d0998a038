//! Contract tests of [`HttpService`] against the plain service stand-in.

use std::net::SocketAddr;

use bytes::Bytes;
use hemlockhitch_endpoint::HttpService;
use hemlockhitch_endpoint::service::{Service, ServiceAnswer, ServiceError, ServiceRequest};
use hemlockhitch_model::RequestId;
use hemlockhitch_standin::plain_service::{self, PlainServiceStandin};
use hemlockhitch_standin::server::ClosedPort;

async fn start() -> PlainServiceStandin {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    plain_service::start(address).await.unwrap()
}

fn hold_request(id: u128) -> ServiceRequest {
    ServiceRequest {
        request_id: RequestId::from_u128(id),
        method: "POST".to_owned(),
        path: "/holds?shop=7".to_owned(),
        content_type: Some("application/json".to_owned()),
        body: Bytes::from_static(br#"{"variant":"b"}"#),
    }
}

fn outcome(result: Result<ServiceAnswer, ServiceError>) -> String {
    match result {
        Ok(response) => format!("{} {}", response.status, response.body),
        Err(ServiceError::Invalid { .. }) => "invalid, not run".to_owned(),
        Err(ServiceError::Unreachable { .. }) => "unreachable, not run".to_owned(),
        Err(ServiceError::Broken { .. }) => "broken, may have run".to_owned(),
    }
}

#[tokio::test]
async fn call_is_forwarded_unchanged() {
    let service = start().await;
    let address = service.address().to_string();
    let response = HttpService::new()
        .call(&address, hold_request(1))
        .await
        .unwrap();
    insta::assert_snapshot!(serde_json::to_string(&response).unwrap(), @r#"{"status":200,"content_type":"application/json","body":"{\"number\":1,\"method\":\"POST\",\"path\":\"/holds?shop=7\"}"}"#);
    insta::assert_snapshot!(serde_json::to_string(&service.stats()).unwrap(), @r#"{"runs":1,"runs_by_request":{"00000000000000000000000000000001":1},"calls":[{"method":"POST","path":"/holds?shop=7","body":"{\"variant\":\"b\"}","runs":1}]}"#);
}

#[tokio::test]
async fn calls_under_each_fault() {
    // For each fault: the outcomes of two calls, and how many calls ran.
    let cases = [
        r#"{"fault":"clear"}"#,
        r#"{"fault":"down","on":true}"#,
        r#"{"fault":"break_before","count":1}"#,
        r#"{"fault":"break_after","count":1}"#,
        r#"{"fault":"slow","delay_ms":60000}"#,
    ];
    let mut rows = String::new();
    for case in cases {
        let service = start().await;
        service.faults().set(serde_json::from_str(case).unwrap());
        let client = HttpService::new().timeout_ms(500_u64);
        let address = service.address().to_string();
        let first = outcome(client.call(&address, hold_request(2)).await);
        let second = outcome(client.call(&address, hold_request(3)).await);
        let runs = service.stats().runs;
        rows.push_str(&format!("{case}\n  {first}\n  {second}\n  runs={runs}\n"));
    }
    insta::assert_snapshot!(rows, @r#"
    {"fault":"clear"}
      200 {"number":1,"method":"POST","path":"/holds?shop=7"}
      200 {"number":2,"method":"POST","path":"/holds?shop=7"}
      runs=2
    {"fault":"down","on":true}
      broken, may have run
      broken, may have run
      runs=0
    {"fault":"break_before","count":1}
      broken, may have run
      200 {"number":1,"method":"POST","path":"/holds?shop=7"}
      runs=1
    {"fault":"break_after","count":1}
      broken, may have run
      200 {"number":2,"method":"POST","path":"/holds?shop=7"}
      runs=2
    {"fault":"slow","delay_ms":60000}
      broken, may have run
      broken, may have run
      runs=0
    "#);
}

#[tokio::test]
async fn interrupted_call_is_not_retried() {
    let service = start().await;
    let client = HttpService::new();
    let address = service.address().to_string();
    client.call(&address, hold_request(4)).await.unwrap();
    let fault = r#"{"fault":"break_after","count":1}"#;
    service.faults().set(serde_json::from_str(fault).unwrap());
    let result = client.call(&address, hold_request(5)).await;
    insta::assert_snapshot!(outcome(result), @"broken, may have run");
    let runs = service.stats().runs_by_request;
    assert_eq!(runs[&RequestId::from_u128(5).to_string()], 1);
}

#[tokio::test]
async fn invalid_calls_are_not_sent() {
    let service = start().await;
    let address = service.address().to_string();
    let other = start().await;
    let cases = [
        ("method", "PO ST", "/holds"),
        ("path without slash", "POST", "holds"),
        (
            "path that names a host",
            "POST",
            &format!("@{}/holds", other.address()),
        ),
        ("path with a space", "POST", "/ho lds"),
    ];
    let mut rows = String::new();
    for (name, method, path) in cases {
        let request = ServiceRequest {
            method: method.to_owned(),
            path: path.to_owned(),
            ..hold_request(6)
        };
        let result = HttpService::new().call(&address, request).await;
        rows.push_str(&format!("{name}: {}\n", outcome(result)));
    }
    insta::assert_snapshot!(rows, @"
    method: invalid, not run
    path without slash: invalid, not run
    path that names a host: invalid, not run
    path with a space: invalid, not run
    ");
    assert_eq!(service.stats().runs + other.stats().runs, 0);
}

#[tokio::test]
async fn closed_port_is_unreachable() {
    let closed = ClosedPort::reserve().unwrap();
    let address = closed.address().unwrap().to_string();
    let result = HttpService::new().call(&address, hold_request(7)).await;
    insta::assert_snapshot!(outcome(result), @"unreachable, not run");
}
