//! Tests how [`HttpEngine`] decodes the body of a streamed response.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::stream;
use hemlockhitch_endpoint::HttpEngine;
use hemlockhitch_endpoint::engine::wire::ChunkEvent;
use hemlockhitch_endpoint::engine::{Answer, ChatRequest, Chunk, Engine, EngineRequest, Usage};
use hemlockhitch_model::{Class, RequestId, VersionName};
use hemlockhitch_standin::server::{HandlerResult, Server};
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

const REQUEST: RequestId = RequestId::from_u128(1);

fn event_json(offset_tokens: u32, text: &str, finish_reason: Option<&str>) -> String {
    let chunk = Chunk {
        request_id: REQUEST,
        offset_tokens,
        tokens: 1,
        text: text.to_owned(),
        finish_reason: finish_reason.map(str::to_owned),
        usage: None,
    };
    serde_json::to_string(&ChunkEvent::new(chunk, "m@1")).unwrap()
}

/// Serves `body` in segments of `segment_bytes`.
async fn serve(body: String, segment_bytes: usize) -> Server {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = move |_| {
        let segments: Vec<_> = body.as_bytes().chunks(segment_bytes).map(frame).collect();
        async move { respond(segments) }
    };
    Server::start(address, handler).await.unwrap()
}

fn frame(bytes: &[u8]) -> io::Result<Frame<Bytes>> {
    Ok(Frame::data(Bytes::copy_from_slice(bytes)))
}

fn respond(segments: Vec<io::Result<Frame<Bytes>>>) -> HandlerResult {
    let body = StreamBody::new(stream::iter(segments));
    Ok(Response::new(BodyExt::boxed_unsync(body)))
}

fn request() -> EngineRequest {
    EngineRequest {
        request_id: REQUEST,
        version: VersionName::from("m@1"),
        class: Class::Chat,
        body: ChatRequest {
            model: "m".to_owned(),
            messages: Vec::new(),
            stream: true,
            max_tokens: None,
            temperature: None,
        },
        resume_offset_tokens: 0,
    }
}

async fn receive(body: String, segment_bytes: usize) -> String {
    let server = serve(body, segment_bytes).await;
    let address = server.address().to_string();
    let mut completion = HttpEngine::new()
        .complete(&address, request())
        .await
        .unwrap();
    let mut text = String::new();
    loop {
        match completion.next().await {
            Ok(Some(chunk)) => text.push_str(&chunk.text),
            Ok(None) => return format!("{text:?}, whole"),
            Err(error) => return format!("{text:?}, {:?}", error.kind()),
        }
    }
}

#[test]
fn event_json_shape() {
    let chunk = Chunk {
        request_id: REQUEST,
        offset_tokens: 5,
        tokens: 0,
        text: String::new(),
        finish_reason: Some("stop".to_owned()),
        usage: Some(Usage {
            prompt_tokens: 3,
            completion_tokens: 5,
        }),
    };
    let event = ChunkEvent::new(chunk, "m@1");
    insta::assert_snapshot!(serde_json::to_string_pretty(&event).unwrap(), @r#"
    {
      "id": "00000000000000000000000000000001",
      "object": "chat.completion.chunk",
      "model": "m@1",
      "request_id": "00000000000000000000000000000001",
      "offset_tokens": 5,
      "tokens": 0,
      "choices": [
        {
          "index": 0,
          "delta": {
            "content": ""
          },
          "finish_reason": "stop"
        }
      ],
      "usage": {
        "prompt_tokens": 3,
        "completion_tokens": 5
      }
    }
    "#);
}

#[tokio::test]
async fn response_bodies() {
    let (one, two) = (
        event_json(0, "päev ", None),
        event_json(1, "läbi", Some("stop")),
    );
    let gap = event_json(7, "x", None);
    let long = "x".repeat(3 << 20);
    let cases = [
        (
            "two events",
            format!("data: {one}\n\ndata: {two}\n\ndata: [DONE]\n\n"),
        ),
        (
            "no space after the colon",
            format!("data:{one}\n\ndata:{two}\n\n"),
        ),
        (
            "carriage returns",
            format!("data: {one}\r\n\r\ndata: {two}\r\n\r\n"),
        ),
        (
            "comments and other fields",
            format!(": ping\n\nid: 4\ndata: {one}\n\ndata: {two}\n\n"),
        ),
        (
            "more after the last chunk",
            format!("data: {one}\n\ndata: {two}\n\ndata: {gap}\n\n"),
        ),
        (
            "done without the last chunk",
            format!("data: {one}\n\ndata: [DONE]\n\n"),
        ),
        (
            "end without an empty line",
            format!("data: {one}\n\ndata: {two}\n"),
        ),
        ("gap", format!("data: {one}\n\ndata: {gap}\n\n")),
        ("not JSON", format!("data: {one}\n\ndata: {{\n\n")),
        (
            "error event",
            format!("data: {one}\n\ndata: {{\"error\":\"out of memory\"}}\n\n"),
        ),
        ("event without end", format!("data: {one}\n\ndata: {long}")),
        ("empty", String::new()),
    ];
    let mut rows = String::new();
    for (name, body) in cases {
        let whole = receive(body.clone(), body.len().max(1)).await;
        let split = receive(body.clone(), 1 + body.len() / 97).await;
        assert_eq!(whole, split, "{name}");
        rows.push_str(&format!("{name}: {whole}\n"));
    }
    insta::assert_snapshot!(rows, @r#"
    two events: "päev läbi", whole
    no space after the colon: "päev läbi", whole
    carriage returns: "päev läbi", whole
    comments and other fields: "päev läbi", whole
    more after the last chunk: "päev läbi", whole
    done without the last chunk: "päev ", Truncated
    end without an empty line: "päev ", Truncated
    gap: "päev ", Protocol
    not JSON: "päev ", Protocol
    error event: "päev ", Broken
    event without end: "päev ", Protocol
    empty: "", Truncated
    "#);
}
