//! Chat completions over HTTP.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::stream::{Stream, unfold};
use hemlockhitch_endpoint::engine::{ChatRequest, Chunk};
use hemlockhitch_model::VersionName;
use hemlockhitch_router::{Backend, ChatAnswer, ChatCall, Refusal, RefusalKind, Router};
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use super::completion::{Gathered, event};
use super::{CallersLimits, answer, headers};

/// Ends a stream of events.
const LAST_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Answers `POST /v1/chat/completions`.
pub(super) struct Chat<B: Backend> {
    pub(super) router: Router<B>,
    pub(super) limits: CallersLimits,
}

#[async_trait]
impl<B: Backend> Handler for Chat<B> {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        if let Err(refusal) = self.serve(request, response).await {
            answer::refuse(response, &refusal);
        }
    }
}

impl<B: Backend> Chat<B> {
    async fn serve(&self, request: &mut Request, response: &mut Response) -> Result<(), Refusal> {
        let headers = headers::read(request);
        let body = self.read_body(request).await?;
        let stream = body.stream;
        let answer = self.router.chat(ChatCall { headers, body }).await?;
        answer::set(response, "x-request-id", &answer.request_id.to_string());
        answer::set(response, "x-hemlockhitch-session", &answer.session);
        answer::set(response, "x-hemlockhitch-version", answer.version.as_str());
        if stream {
            write_events(response, answer);
            return Ok(());
        }
        write_whole(response, answer).await
    }

    async fn read_body(&self, request: &mut Request) -> Result<ChatRequest, Refusal> {
        let limit_bytes = self.limits.body_bytes;
        let body = request
            .payload_with_max_size(limit_bytes)
            .await
            .map_err(|error| headers::body_refusal(&error, limit_bytes))?;
        serde_json::from_slice(body).map_err(|error| {
            Refusal::not_run(
                RefusalKind::BadRequest,
                format!("the body is not a chat completion: {error}"),
                "send JSON with `model` and `messages`",
            )
        })
    }
}

async fn write_whole<B: Backend>(
    response: &mut Response,
    mut answer: ChatAnswer<B>,
) -> Result<(), Refusal> {
    let mut gathered = Gathered::default();
    while let Some(chunk) = answer.relay.next().await? {
        gathered.add(chunk);
    }
    let completion = gathered.into_completion(answer.request_id, &answer.version);
    answer::json(response, completion);
    Ok(())
}

fn write_events<B: Backend>(response: &mut Response, answer: ChatAnswer<B>) {
    response.status_code(StatusCode::OK);
    answer::set(response, "content-type", "text/event-stream");
    answer::set(response, "cache-control", "no-store");
    response.stream(events(answer));
}

/// Turns an answer into events; the state is `None` once the last was sent.
fn events<B: Backend>(answer: ChatAnswer<B>) -> impl Stream<Item = Result<Bytes, Infallible>> {
    unfold(Some(answer), |state| async move {
        let mut answer = state?;
        let (bytes, next) = match answer.relay.next().await {
            Ok(Some(chunk)) => (chunk_event(chunk, &answer.version), Some(answer)),
            Ok(None) => (Bytes::from_static(LAST_EVENT), None),
            Err(refusal) => (error_event(&refusal), None),
        };
        Some((Ok(bytes), next))
    })
}

fn chunk_event(chunk: Chunk, version: &VersionName) -> Bytes {
    let message = serde_json::to_string(&event(chunk, version)).unwrap_or_default();
    Bytes::from(format!("data: {message}\n\n"))
}

fn error_event(refusal: &Refusal) -> Bytes {
    let message = serde_json::to_string(&refusal.body()).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {message}\n\n"))
}
