//! One try: a request at one endpoint until its answer is known, or has begun.

use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::Clock;
use hemlockhitch_routing::judge::Seen;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::Gateway;
use super::context::{Job, Log};
use super::headers::strip_connection_headers;
use super::slot::Place;
use super::stream::{Next, OpenStream};
use crate::connection::{Connection, SendError};
use crate::dialect::{AnswerTerms, Dialect, SendTerms};

/// An answer that is known whole.
#[derive(Debug)]
pub(super) struct WholeAnswer {
    pub(super) head: Response<()>,
    pub(super) body: Bytes,
}

/// An answer that may be passed on.
#[derive(Debug)]
pub(super) enum Opened<D: Dialect, C: Clock> {
    Whole(WholeAnswer),
    Stream(Box<OpenStream<D, C>>),
}

/// A good answer with the model's opinion of it.
#[derive(Debug)]
pub(super) struct Good<D: Dialect, C: Clock> {
    pub(super) opened: Opened<D, C>,
    pub(super) confidence_percent: Option<u8>,
}

/// A try without a good answer.
#[derive(Debug)]
pub(super) struct Bad {
    pub(super) seen: Seen,
    /// The endpoint's own failure, if it sent one whole.
    pub(super) failure: Option<Box<WholeAnswer>>,
}

impl From<Seen> for Bad {
    fn from(seen: Seen) -> Self {
        Self {
            seen,
            failure: None,
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Sends a request to the endpoint of a place. The answer's head, and the first
    /// event of a stream, must come within `silence`.
    pub(super) async fn send(
        &self,
        job: &Job<D, C>,
        log: &Log,
        place: Place<D, C>,
        silence: Duration,
    ) -> (Result<Good<D, C>, Bad>, Option<Place<D, C>>) {
        let Some(request) = self.request(job, log, &place) else {
            return (Err(Seen::NotSent.into()), Some(place));
        };
        let connections = self.shared.connections();
        let sending = connections.send(place.endpoint, place.address, request);
        match timeout(silence, sending).await {
            Err(_) => (Err(Seen::Silent.into()), Some(place)),
            Ok(Err(SendError::NotSent)) => (Err(Seen::NotSent.into()), Some(place)),
            Ok(Err(SendError::Broken)) => (Err(Seen::Broken.into()), Some(place)),
            Ok(Ok((response, connection))) => {
                self.read(job, log, place, response, connection, silence)
                    .await
            }
        }
    }

    async fn read(
        &self,
        job: &Job<D, C>,
        log: &Log,
        place: Place<D, C>,
        response: Response<Incoming>,
        connection: Connection,
        silence: Duration,
    ) -> (Result<Good<D, C>, Bad>, Option<Place<D, C>>) {
        let terms = self
            .shared
            .dialect()
            .answer(response.status(), response.headers());
        self.note_answer(&place, &terms);
        if terms.request.as_deref() != Some(job.terms.request.as_str()) {
            let name = &place.name;
            tracing::info!(event = "HH1222", request = job.terms.request, %name, "answer of another request");
            return (Err(Seen::Spoilt.into()), Some(place));
        }
        let status = response.status();
        let good = status.is_success() && terms.signed && !terms.encoded;
        let confidence_percent = terms.confidence_percent;
        if good && job.route.work.is_stream() {
            let stream = OpenStream::new(place, response, connection, terms.idle_ms);
            return first_event(stream, log, silence, confidence_percent).await;
        }
        let (head, body) = response.into_parts();
        let Ok(Ok(body)) = timeout(silence, body.collect()).await else {
            let seen = if terms.not_run {
                Seen::NotRun
            } else {
                Seen::Broken
            };
            return (Err(seen.into()), Some(place));
        };
        let whole = WholeAnswer {
            head: Response::from_parts(head, ()),
            body: body.to_bytes(),
        };
        self.shared.connections().keep(connection, terms.idle_ms);
        (verdict_of_whole(whole, &terms, good), Some(place))
    }

    /// Takes in what an answer says of its endpoint.
    fn note_answer(&self, place: &Place<D, C>, terms: &AnswerTerms) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        let Some(known) = state.fleet.get_mut(place.endpoint) else {
            return;
        };
        if let Some(load) = terms.load {
            known.note_load(load, now);
        }
        known.note_cold(terms.cold_left_ms, now);
    }

    fn request(
        &self,
        job: &Job<D, C>,
        log: &Log,
        place: &Place<D, C>,
    ) -> Option<Request<Full<Bytes>>> {
        let now = self.shared.now();
        let mut headers = job.head.headers.clone();
        strip_connection_headers(&mut headers);
        let send = SendTerms {
            organisation: job.organisation.as_ref().map(|caller| &caller.name),
            time_ms: job.time_left_ms(now),
            endpoint: &place.name,
            model: job.model_of(log.size),
            rank: job.rank(),
            last_event: log.last_event,
        };
        let path = job.head.uri.path_and_query()?.clone();
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.head.method.clone();
        *request.uri_mut() = Uri::from(path);
        *request.headers_mut() = self.shared.dialect().request_headers(&headers, &send);
        Some(request)
    }
}

fn verdict_of_whole<D: Dialect, C: Clock>(
    whole: WholeAnswer,
    terms: &AnswerTerms,
    good: bool,
) -> Result<Good<D, C>, Bad> {
    let status = whole.head.status();
    if terms.not_run && status != StatusCode::BAD_REQUEST {
        return Err(Seen::NotRun.into());
    }
    let refused = terms.not_run || (terms.signed && status.is_client_error());
    if good || (refused && !promises_not_run(status)) {
        return Ok(Good {
            opened: Opened::Whole(whole),
            confidence_percent: terms.confidence_percent,
        });
    }
    if !terms.signed || status.is_success() {
        return Err(Seen::Spoilt.into());
    }
    Err(Bad {
        seen: Seen::Failed,
        failure: Some(Box::new(whole)),
    })
}

/// Returns whether callers take the status as a promise that nothing ran.
pub(super) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Waits for the first event of a stream.
async fn first_event<D: Dialect, C: Clock>(
    mut stream: OpenStream<D, C>,
    log: &Log,
    silence: Duration,
    confidence_percent: Option<u8>,
) -> (Result<Good<D, C>, Bad>, Option<Place<D, C>>) {
    let first = timeout(silence, stream.next(log.last_event)).await;
    let seen = match first {
        Ok(Next::Event(event)) => {
            stream.put_back(event);
            None
        }
        // A caller that resumes after the last event gets the end alone.
        Ok(Next::End) if log.last_event.is_some() => {
            stream.put_back_end();
            None
        }
        Ok(Next::End | Next::Broken) => Some(Seen::Broken),
        Err(_) => Some(Seen::Silent),
    };
    if let Some(seen) = seen {
        return (Err(seen.into()), Some(stream.into_place()));
    }
    stream.end_reading();
    let good = Good {
        opened: Opened::Stream(Box::new(stream)),
        confidence_percent,
    };
    (Ok(good), None)
}
