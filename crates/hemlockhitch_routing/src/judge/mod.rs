//! What a try has shown, and what may follow from it.
//!
//! This is the one place that says whether a request may be sent again and which
//! final answer is true.

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Work {
    /// It may run more than once.
    Repeatable,
    /// It may run once at most.
    Once,
    /// A stream of events.
    Stream {
        /// Whether another endpoint can go on after the last event.
        resumable: bool,
    },
}

impl Work {
    /// Returns whether the work may run more than once.
    #[must_use]
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// What was seen of a try that gave no good answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Seen {
    /// Nothing was sent: no endpoint, or no connection.
    NotSent,
    /// The endpoint said that it did not run the request.
    NotRun,
    /// The endpoint's own whole failure.
    Failed,
    /// The connection ended before the answer was whole.
    Broken,
    /// What came is no answer to this request, or a spoilt one.
    Spoilt,
    /// Nothing came for too long.
    Silent,
    /// The request's time is over.
    TimeOver,
}

impl Seen {
    /// Returns whether the request may have run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotSent | Self::NotRun)
    }
}

/// What happened to a request before and around a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tries {
    /// Whether an earlier try may have run.
    pub may_have_run: bool,
    /// Whether endpoints, the budget of repeats and the time left allow another.
    pub may_repeat: bool,
    /// Whether the caller has received a part of the answer.
    pub relayed: bool,
}

/// What follows from a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send the request to another endpoint.
    Again,
    /// Let another endpoint go on after the last event relayed.
    Resume,
    /// Give the caller its final answer.
    End(Final),
}

/// The final answer to a request without a good one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// It has not run and will not: the caller may come back.
    NotRun,
    /// The endpoint's own failure, as it came.
    Failed,
    /// It may have run.
    Unknown,
    /// Its time is over, and it may have run.
    TimeOver,
    /// The answer that was begun is broken off.
    BreakOff,
}

/// Decides what follows from a try.
#[must_use]
pub fn judge(work: Work, seen: Seen, tries: Tries) -> Verdict {
    let may_have_run = tries.may_have_run || seen.may_have_run();
    let allowed = tries.may_repeat && seen != Seen::TimeOver;
    let safe = work.may_run_again() || !may_have_run;
    if tries.relayed {
        let resume = allowed && work == Work::Stream { resumable: true };
        return if resume {
            Verdict::Resume
        } else {
            Verdict::End(Final::BreakOff)
        };
    }
    if allowed && safe {
        return Verdict::Again;
    }
    Verdict::End(match seen {
        _ if !may_have_run => Final::NotRun,
        Seen::Failed => Final::Failed,
        Seen::TimeOver => Final::TimeOver,
        _ => Final::Unknown,
    })
}
