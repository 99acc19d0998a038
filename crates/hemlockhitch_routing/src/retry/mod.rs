//! The retry policy: what follows from a failed attempt.
//!
//! Only this module decides whether a request may be sent again and which final
//! response the caller gets.

/// Which requests of a route may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Idempotent: may be executed more than once.
    Idempotent,
    /// Not idempotent: may be executed once at most.
    NonIdempotent,
    /// The response is a stream of events; the request may be executed once at most,
    /// unless the stream is resumable.
    Streaming {
        /// Whether another endpoint can continue after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be executed more than once.
    #[must_use]
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Seen {
    /// Nothing was sent: no endpoint was available or the connection failed.
    NotSent,
    /// The endpoint stated that it did not execute the request.
    NotRun,
    /// The endpoint returned a complete error response.
    Failed,
    /// The connection closed before the response was complete.
    Broken,
    /// The response was corrupt or belonged to another request.
    Spoilt,
    /// The endpoint sent nothing before the idle timeout.
    Silent,
    /// The request's timeout expired.
    TimeOver,
}

impl Seen {
    /// Returns whether the endpoint may have executed the request.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotSent | Self::NotRun)
    }
}

/// State of a request that decides what may follow a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptSummary {
    /// Whether an earlier attempt may have been executed.
    pub may_have_run: bool,
    /// Whether the remaining endpoints, the retry budget and the remaining time allow
    /// another attempt.
    pub may_retry: bool,
    /// Whether the caller has received a part of the response.
    pub response_started: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send the request to another endpoint.
    Again,
    /// Let another endpoint continue the stream after the last relayed event.
    Resume,
    /// Send the caller the final response.
    End(Final),
}

/// The final response to a request whose attempts all failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// The request was not executed and will not be; the caller may retry.
    NotRun,
    /// The endpoint's error response, unchanged.
    Failed,
    /// The request may have been executed.
    Unknown,
    /// The request timed out and may have been executed.
    TimeOver,
    /// The response that was partly relayed is aborted.
    BreakOff,
}

/// Decides what to do after a failed attempt.
#[must_use]
pub fn decide_retry(kind: RouteKind, seen: Seen, summary: AttemptSummary) -> Verdict {
    let may_have_run = summary.may_have_run || seen.may_have_run();
    let may_retry = summary.may_retry && seen != Seen::TimeOver;
    let is_safe = kind.may_run_again() || !may_have_run;
    if summary.response_started {
        let can_resume = may_retry && kind == RouteKind::Streaming { resumable: true };
        return if can_resume {
            Verdict::Resume
        } else {
            Verdict::End(Final::BreakOff)
        };
    }
    if may_retry && is_safe {
        return Verdict::Again;
    }
    Verdict::End(match seen {
        _ if !may_have_run => Final::NotRun,
        Seen::Failed => Final::Failed,
        Seen::TimeOver => Final::TimeOver,
        _ => Final::Unknown,
    })
}
