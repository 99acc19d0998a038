//! The decision table of the retry policy.

use hemlockhitch_routing::judge::{Final, Seen, Tries, Verdict, Work, judge};
use insta::assert_snapshot;

const WORKS: [(&str, Work); 4] = [
    ("repeatable", Work::Repeatable),
    ("once", Work::Once),
    ("stream", Work::Stream { resumable: false }),
    ("resumable", Work::Stream { resumable: true }),
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

fn tries(may_have_run: bool, may_repeat: bool, relayed: bool) -> Tries {
    Tries {
        may_have_run,
        may_repeat,
        relayed,
    }
}

fn table(tries: Tries) -> String {
    let mut table = String::new();
    for (name, work) in WORKS {
        for seen in SEEN {
            let verdict = match judge(work, seen, tries) {
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
    assert_snapshot!(table(tries(false, true, false)));
}

#[test]
fn first_attempt_that_may_not_be_retried() {
    assert_snapshot!(table(tries(false, false, false)));
}

#[test]
fn later_attempt_after_one_that_may_have_run() {
    assert_snapshot!(table(tries(true, true, false)));
}

#[test]
fn attempt_whose_answer_was_partly_relayed() {
    assert_snapshot!(table(tries(false, true, true)));
}

/// "Not run" promises the caller that the request was not executed, in every
/// combination.
#[test]
fn not_run_is_answered_only_if_nothing_may_have_run() {
    for (_, work) in WORKS {
        for seen in SEEN {
            for bits in 0..8 {
                let tries = tries(bits & 1 > 0, bits & 2 > 0, bits & 4 > 0);
                let verdict = judge(work, seen, tries);
                let may_have_run = tries.may_have_run || seen.may_have_run();
                if verdict == Verdict::End(Final::NotRun) {
                    assert!(!may_have_run, "{work:?} {seen:?} {tries:?}");
                }
                let sends = matches!(verdict, Verdict::Again | Verdict::Resume);
                if sends && !work.may_run_again() {
                    assert!(!may_have_run, "{work:?} {seen:?} {tries:?}");
                }
                assert!(!sends || tries.may_repeat);
            }
        }
    }
}
