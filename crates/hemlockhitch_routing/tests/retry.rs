//! The decision table of the retry policy.

use hemlockhitch_routing::retry::{AttemptSummary, Final, RouteKind, Seen, Verdict, decide_retry};
use insta::assert_snapshot;

const ROUTE_KINDS: [(&str, RouteKind); 4] = [
    ("repeatable", RouteKind::Idempotent),
    ("once", RouteKind::NonIdempotent),
    ("stream", RouteKind::Streaming { resumable: false }),
    ("resumable", RouteKind::Streaming { resumable: true }),
];

const SEEN: [Seen; 7] = [
    Seen::NotSent,
    Seen::NotRun,
    Seen::Failed,
    Seen::Broken,
    Seen::Spoilt,
    Seen::Silent,
    Seen::TimeOver,
];

fn summary(may_have_run: bool, may_retry: bool, response_started: bool) -> AttemptSummary {
    AttemptSummary {
        may_have_run,
        may_retry,
        response_started,
    }
}

fn table(summary: AttemptSummary) -> String {
    let mut table = String::new();
    for (name, kind) in ROUTE_KINDS {
        for seen in SEEN {
            let verdict = match decide_retry(kind, seen, summary) {
                Verdict::Again => "again".to_owned(),
                Verdict::Resume => "resume".to_owned(),
                Verdict::End(how) => format!("{how:?}"),
            };
            table.push_str(&format!("{name:10} {:9} {verdict}\n", format!("{seen:?}")));
        }
    }
    table
}

#[test]
fn first_attempt_that_may_be_retried() {
    assert_snapshot!(table(summary(false, true, false)));
}

#[test]
fn first_attempt_that_may_not_be_retried() {
    assert_snapshot!(table(summary(false, false, false)));
}

#[test]
fn later_attempt_after_one_that_may_have_run() {
    assert_snapshot!(table(summary(true, true, false)));
}

#[test]
fn attempt_whose_answer_was_partly_relayed() {
    assert_snapshot!(table(summary(false, true, true)));
}

/// "Not run" promises the caller that the request was not executed, in every
/// combination.
#[test]
fn not_run_is_answered_only_if_nothing_may_have_run() {
    for (_, kind) in ROUTE_KINDS {
        for seen in SEEN {
            for bits in 0..8 {
                let summary = summary(bits & 1 > 0, bits & 2 > 0, bits & 4 > 0);
                let verdict = decide_retry(kind, seen, summary);
                let may_have_run = summary.may_have_run || seen.may_have_run();
                if verdict == Verdict::End(Final::NotRun) {
                    assert!(!may_have_run, "{kind:?} {seen:?} {summary:?}");
                }
                let sends = matches!(verdict, Verdict::Again | Verdict::Resume);
                if sends && !kind.may_run_again() {
                    assert!(!may_have_run, "{kind:?} {seen:?} {summary:?}");
                }
                assert!(!sends || summary.may_retry);
            }
        }
    }
}
