//! HTTP handler of chat completions.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::stream::{Stream, unfold};
use hemlockhitch_endpoint::engine::Chunk;
use hemlockhitch_model::VersionName;
use hemlockhitch_router::{Backend, ChatAnswer, ChatCall, Refusal, Router};
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use super::completion::{collect_completion, completion_chunk};
use super::{CallersLimits, body, headers, response};

/// Final event of a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Handles `POST /v1/chat/completions`.
pub(super) struct ChatHandler<B: Backend> {
    pub(super) router: Router<B>,
    pub(super) limits: CallersLimits,
}

#[async_trait]
impl<B: Backend> Handler for ChatHandler<B> {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        if let Err(refusal) = self.serve(request, response).await {
            response::write_refusal(response, &refusal);
        }
    }
}

impl<B: Backend> ChatHandler<B> {
    async fn serve(&self, request: &mut Request, response: &mut Response) -> Result<(), Refusal> {
        let headers = headers::read(request);
        let body = body::read(request, self.limits).await?;
        let stream = body.stream;
        let answer = self.router.chat(ChatCall { headers, body }).await?;
        response::set_header(response, "x-request-id", &answer.request_id.to_string());
        response::set_header(response, "x-hemlockhitch-session", &answer.session);
        response::set_header(response, "x-hemlockhitch-version", answer.version.as_str());
        if stream {
            write_events(response, answer);
            return Ok(());
        }
        write_completion(response, answer).await
    }
}

async fn write_completion<B: Backend>(
    response: &mut Response,
    answer: ChatAnswer<B>,
) -> Result<(), Refusal> {
    response::write_json(response, collect_completion(answer).await?);
    Ok(())
}

fn write_events<B: Backend>(response: &mut Response, answer: ChatAnswer<B>) {
    response.status_code(StatusCode::OK);
    response::set_header(response, "content-type", "text/event-stream");
    response::set_header(response, "cache-control", "no-store");
    response.stream(event_stream(answer));
}

/// Converts an answer into server-sent events; the state is `None` after the final event.
fn event_stream<B: Backend>(
    answer: ChatAnswer<B>,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    unfold(Some(answer), |state| async move {
        let mut answer = state?;
        let (bytes, next) = match answer.relay.next().await {
            Ok(Some(chunk)) => (chunk_event(chunk, &answer.version), Some(answer)),
            Ok(None) => (Bytes::from_static(DONE_EVENT), None),
            Err(refusal) => (error_event(&refusal), None),
        };
        Some((Ok(bytes), next))
    })
}

fn chunk_event(chunk: Chunk, version: &VersionName) -> Bytes {
    let message = serde_json::to_string(&completion_chunk(chunk, version)).unwrap_or_default();
    Bytes::from(format!("data: {message}\n\n"))
}

fn error_event(refusal: &Refusal) -> Bytes {
    let message = serde_json::to_string(&refusal.body()).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {message}\n\n"))
}
