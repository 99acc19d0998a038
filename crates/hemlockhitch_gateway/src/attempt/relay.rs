//! Passes a stream on, event by event.

use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_routing::fleet::Sign;
use hemlockhitch_routing::judge::{Seen, Verdict, judge};
use http::Response;
use tokio::sync::mpsc::{Sender, channel};
use tokio::time::{timeout, timeout_at};

use super::Gateway;
use super::context::{Job, Log};
use super::headers::strip_connection_headers;
use super::response::{AnswerBody, EventBody, Piece};
use super::send::Opened;
use super::stream::{Next, OpenStream};
use crate::dialect::Dialect;
use crate::telemetry;

/// Events that may wait for a slow caller before its endpoint is read no further.
const EVENTS_AHEAD: usize = 16;

/// How many times the longest pause that is on time an endpoint may be silent
/// within a stream before another one goes on.
const SILENT_PAUSES: u64 = 2;

/// The longest pause that is on time where the route states none, in milliseconds.
const PAUSE_DEFAULT_MS: u64 = 1_000;

/// Answers with the stream and passes it on in a task of its own.
pub(super) fn start<D: Dialect, C: Clock>(
    gateway: Gateway<D, C>,
    job: Job<D, C>,
    log: Log,
    stream: OpenStream<D, C>,
) -> Response<AnswerBody> {
    let (sender, receiver) = channel(EVENTS_AHEAD);
    let mut head = stream.head.clone();
    strip_connection_headers(head.headers_mut());
    let (head, ()) = head.into_parts();
    tokio::spawn(async move {
        let relay = Relay {
            gateway,
            job,
            log,
            sender: sender.clone(),
        };
        tokio::select! {
            () = sender.closed() => {}
            () = relay.run(stream) => {}
        }
    });
    Response::from_parts(head, AnswerBody::Events(EventBody::new(receiver)))
}

struct Relay<D: Dialect, C: Clock> {
    gateway: Gateway<D, C>,
    job: Job<D, C>,
    log: Log,
    sender: Sender<Piece>,
}

impl<D: Dialect, C: Clock> Relay<D, C> {
    async fn run(mut self, stream: OpenStream<D, C>) {
        let deadline = self.job.deadline;
        let request = self.job.terms.request.clone();
        let route = self.job.route.name.clone();
        let sender = self.sender.clone();
        match timeout_at(deadline, self.pass_on(stream)).await {
            Ok(true) => {
                // The caller may have left; then nobody reads the end.
                let _ = sender.send(Piece::End).await;
            }
            Ok(false) => {
                tracing::info!(event = "HH1227", request, route, "stream broken off");
            }
            Err(_) => {
                tracing::info!(event = "HH1228", request, route, "stream out of time");
            }
        }
    }

    /// Passes events on until the stream is complete; returns whether it is.
    async fn pass_on(&mut self, stream: OpenStream<D, C>) -> bool {
        let pause_ms = self.job.route.pause_ms.unwrap_or(PAUSE_DEFAULT_MS);
        let silence = Duration::from_millis(pause_ms * SILENT_PAUSES);
        let mut stream = stream;
        let mut events = 0;
        let pauses = telemetry::between_events();
        let mut last_mono_ms = None;
        loop {
            let can_move = self.job.route.work.may_run_again()
                && self.log.has_tries_left(self.job.route.endpoints_most);
            let next = stream.next(self.log.last_event);
            let next = if can_move {
                timeout(silence, next).await.ok()
            } else {
                Some(next.await)
            };
            match next {
                Some(Next::Event(event)) => {
                    self.log.last_event = event.id.or(self.log.last_event);
                    self.log.relayed = true;
                    events += 1;
                    let now_mono_ms = self.gateway.shared.now().mono_ms;
                    if let Some(last_mono_ms) = last_mono_ms.replace(now_mono_ms) {
                        pauses.record(telemetry::float(now_mono_ms.saturating_sub(last_mono_ms)));
                    }
                    if self.sender.send(Piece::Bytes(event.bytes)).await.is_err() {
                        return false;
                    }
                }
                Some(Next::End) => {
                    stream.place.note_events(events, &self.job);
                    let (place, connection, idle_ms) = stream.finish();
                    self.gateway.shared.connections().keep(connection, idle_ms);
                    drop(place);
                    return true;
                }
                Some(Next::Broken) => match self.resume(stream, Seen::Broken).await {
                    Some(resumed) => (stream, events) = (resumed, 0),
                    None => return false,
                },
                None => match self.resume(stream, Seen::Silent).await {
                    Some(resumed) => (stream, events) = (resumed, 0),
                    None => return false,
                },
            }
        }
    }

    /// Lets another endpoint go on after the last event.
    async fn resume(&mut self, stream: OpenStream<D, C>, seen: Seen) -> Option<OpenStream<D, C>> {
        stream.place.note(Sign::Bad, &self.job);
        let endpoint = stream.place.endpoint;
        drop(stream);
        self.log.end_try(seen);
        let may_repeat = self.log.has_tries_left(self.job.route.endpoints_most);
        let verdict = judge(self.job.route.work, seen, self.log.tries(may_repeat));
        tracing::info!(
            event = "HH1229",
            request = self.job.terms.request,
            route = self.job.route.name,
            ?endpoint,
            ?seen,
            last_event = self.log.last_event,
            ?verdict,
            "stream interrupted"
        );
        if verdict != Verdict::Resume {
            return None;
        }
        match self.gateway.attempts(&self.job, &mut self.log).await {
            Ok(Opened::Stream(stream)) => {
                telemetry::resumed();
                Some(*stream)
            }
            Ok(Opened::Whole(_)) | Err(_) => None,
        }
    }
}
