//! The generation of one answer, as the body of the response.

use std::collections::VecDeque;
use std::io;

use bytes::Bytes;
use futures_util::stream;
use hemlockhitch_endpoint::engine::wire::{ChunkEvent, DONE};
use hemlockhitch_endpoint::engine::{Chunk, Usage};
use hemlockhitch_model::{RequestId, VersionName};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::answer_text::token_text;
use super::faults::FaultState;
use super::state::Shared;
use crate::server::Body;

/// What is generated.
#[derive(Clone, Debug)]
pub(super) struct Completion {
    pub(super) request_id: RequestId,
    pub(super) version: VersionName,
    pub(super) prompt: String,
    pub(super) resume_offset_tokens: u32,
    pub(super) max_tokens: u32,
    pub(super) finish_reason: &'static str,
}

/// A running completion; dropping it counts it as cancelled.
#[derive(Debug)]
pub(super) struct Generation {
    shared: Shared,
    completion: Completion,
    wake: watch::Receiver<u64>,
    break_count: u64,
    next_token: u32,
    sent_tokens: u32,
    next_at: Instant,
    frames: VecDeque<Bytes>,
    previous: Option<Chunk>,
    ended: bool,
}

/// What a completion does next.
enum Step {
    Token,
    Finish,
    Truncate,
    Break,
    Stall,
}

impl Generation {
    /// Takes over a completion whose start was counted.
    pub(super) fn new(shared: Shared, completion: Completion) -> Self {
        let wake = shared.wake.subscribe();
        let mut inner = shared.lock();
        let break_count = inner.break_count;
        let next_at = Instant::now() + inner.prefill(&completion.prompt) + inner.token_time();
        inner.keep_prompt(completion.request_id, &completion.prompt);
        drop(inner);
        Self {
            wake,
            break_count,
            next_token: completion.resume_offset_tokens,
            sent_tokens: 0,
            next_at,
            frames: VecDeque::new(),
            previous: None,
            ended: false,
            shared,
            completion,
        }
    }

    /// Turns the generation into a body.
    pub(super) fn into_body(self) -> Body {
        let frames = stream::unfold(self, |mut generation| async move {
            let frame = generation.next_frame().await?;
            Some((frame.map(Frame::data), generation))
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    async fn next_frame(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            if let Some(frame) = self.frames.pop_front() {
                return Some(Ok(frame));
            }
            if self.ended {
                return None;
            }
            if let Err(error) = self.wait().await {
                self.end(|stats| stats.failed += 1);
                return Some(Err(error));
            }
            if self.is_cancelled() {
                self.end(|stats| stats.cancelled += 1);
                return None;
            }
            match self.next_step() {
                Step::Token => self.push_token(),
                Step::Finish => self.push_finish(),
                Step::Truncate => self.end(|stats| stats.failed += 1),
                Step::Stall => self.stall().await,
                Step::Break => {
                    self.end(|stats| stats.failed += 1);
                    return Some(Err(broken()));
                }
            }
        }
    }

    /// Waits for the time of the next token, a cancellation or a break.
    async fn wait(&mut self) -> io::Result<()> {
        loop {
            if self.shared.lock().break_count != self.break_count {
                return Err(broken());
            }
            if self.is_cancelled() {
                return Ok(());
            }
            tokio::select! {
                () = sleep_until(self.next_at) => return Ok(()),
                _ = self.wake.changed() => {}
            }
        }
    }

    /// Sends no token; chunks of another request go on if that fault is set.
    async fn stall(&mut self) {
        let crossed_answers = self.shared.lock().faults.crossed_answers;
        if !crossed_answers {
            let _ = self.wake.changed().await;
            return;
        }
        self.next_at = Instant::now() + self.shared.lock().token_time();
        self.push_chunk(crossed(&self.token_chunk()));
    }

    fn is_cancelled(&self) -> bool {
        let inner = self.shared.lock();
        inner.cancelled.contains(&self.completion.request_id)
    }

    fn next_step(&self) -> Step {
        let inner = self.shared.lock();
        let reached = |limit: Option<u32>| limit.is_some_and(|limit| self.sent_tokens >= limit);
        if reached(inner.faults.break_after) {
            return Step::Break;
        }
        if reached(inner.faults.truncate_after) {
            return Step::Truncate;
        }
        if reached(inner.faults.stall_after) {
            return Step::Stall;
        }
        if self.next_token >= self.completion.max_tokens {
            return Step::Finish;
        }
        Step::Token
    }

    fn push_token(&mut self) {
        let chunk = self.token_chunk();
        let faults = self.count_token();
        let skipped = faults.skip_token == Some(self.next_token);
        if faults.crossed_answers && self.next_token % 2 == 1 {
            self.push_chunk(crossed(&chunk));
        }
        if !skipped {
            self.push_chunk(chunk.clone());
        }
        if faults.late_chunks {
            let previous = self.previous.take();
            previous.into_iter().for_each(|late| self.push_chunk(late));
        }
        self.previous = Some(chunk);
        self.next_token += 1;
        self.sent_tokens += 1;
    }

    fn count_token(&mut self) -> FaultState {
        let mut inner = self.shared.lock();
        inner.stats.tokens += 1;
        self.next_at = Instant::now() + inner.token_time();
        inner.faults.clone()
    }

    fn token_chunk(&self) -> Chunk {
        let completion = &self.completion;
        Chunk {
            request_id: completion.request_id,
            offset_tokens: self.next_token,
            tokens: 1,
            text: token_text(&completion.version, &completion.prompt, self.next_token),
            finish_reason: None,
            usage: None,
        }
    }

    fn push_finish(&mut self) {
        let usage = Usage {
            prompt_tokens: prompt_tokens(&self.completion.prompt),
            completion_tokens: self.next_token,
        };
        self.push_chunk(Chunk {
            request_id: self.completion.request_id,
            offset_tokens: self.next_token,
            tokens: 0,
            text: String::new(),
            finish_reason: Some(self.completion.finish_reason.to_owned()),
            usage: Some(usage),
        });
        self.push_data(DONE);
        self.end(|stats| stats.finished += 1);
    }

    fn push_chunk(&mut self, chunk: Chunk) {
        let event = ChunkEvent::new(chunk, self.completion.version.as_str());
        let json = serde_json::to_string(&event).unwrap_or_default();
        self.push_data(&json);
    }

    fn push_data(&mut self, data: &str) {
        self.frames
            .push_back(Bytes::from(format!("data: {data}\n\n")));
    }

    fn end(&mut self, count: impl FnOnce(&mut super::EngineStats)) {
        if self.ended {
            return;
        }
        self.ended = true;
        let mut inner = self.shared.lock();
        count(&mut inner.stats);
        inner.count_end();
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.end(|stats| stats.cancelled += 1);
    }
}

/// Returns the chunk as if it belonged to another request.
fn crossed(chunk: &Chunk) -> Chunk {
    Chunk {
        request_id: RequestId::from_u128(!chunk.request_id.as_u128()),
        text: "crossed ".to_owned(),
        ..chunk.clone()
    }
}

/// Counts words as tokens.
fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}

pub(super) fn broken() -> io::Error {
    io::Error::other("the engine broke the connection")
}
