//! Retry safety, budget and backoff.

use fastrand::Rng;
use hemlockhitch_policy::retry::{
    FailedAttempt, MAX_RETRIES, Relayed, RetryBudget, RetryDecision, backoff_ms, decide,
};
use quickcheck::{Gen, QuickCheck};

const FAILED: FailedAttempt = FailedAttempt {
    earlier_failures: 0,
    not_run: false,
    idempotent: true,
    relayed: Relayed::Nothing,
    time_left_ms: 60_000,
};

#[test]
fn retry_decisions() {
    let cases = [
        ("idempotent, may have run", FAILED),
        (
            "not idempotent, may have run",
            FailedAttempt {
                idempotent: false,
                ..FAILED
            },
        ),
        (
            "not idempotent, not run",
            FailedAttempt {
                idempotent: false,
                not_run: true,
                ..FAILED
            },
        ),
        (
            "resumable part relayed",
            FailedAttempt {
                relayed: Relayed::Resumable,
                ..FAILED
            },
        ),
        (
            "other part relayed",
            FailedAttempt {
                relayed: Relayed::NotResumable,
                ..FAILED
            },
        ),
        (
            "failed often",
            FailedAttempt {
                earlier_failures: MAX_RETRIES,
                ..FAILED
            },
        ),
        (
            "no time left",
            FailedAttempt {
                time_left_ms: 0,
                ..FAILED
            },
        ),
    ];
    let mut report = String::new();
    for (name, attempt) in cases {
        let decision = match decide(attempt, &mut RetryBudget::new(), &mut Rng::with_seed(3)) {
            RetryDecision::Retry { .. } => "retry".to_owned(),
            RetryDecision::GiveUp(reason) => format!("{reason:?}"),
        };
        report.push_str(&format!("{name}: {decision}\n"));
    }
    insta::assert_snapshot!(report, @"
    idempotent, may have run: retry
    not idempotent, may have run: MayHaveRun
    not idempotent, not run: retry
    resumable part relayed: retry
    other part relayed: PartlyRelayed
    failed often: TooManyAttempts
    no time left: TooLate
    ");
}

#[test]
fn budget_bounds_retries_at_any_time() {
    fn holds(steps: Vec<bool>) -> bool {
        let mut budget = RetryBudget::new();
        let (mut requests, mut retries) = (0.0, 0.0);
        steps.into_iter().all(|is_request| {
            if is_request {
                budget.record_request();
                requests += 1.0;
            } else if budget.try_take() {
                retries += 1.0;
            }
            retries <= requests / 10.0 + 3.0 + 1e-9
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(2_000, 5))
        .tests(200)
        .quickcheck(holds as fn(Vec<bool>) -> bool);
}

#[test]
fn budget_bounds_attempts_in_an_outage() {
    // Every attempt of 10,000 requests fails.
    const REQUESTS: u32 = 10_000;
    let mut budget = RetryBudget::new();
    let mut rng = Rng::with_seed(9);
    let mut attempts = 0;
    for _ in 0..REQUESTS {
        budget.record_request();
        for earlier_failures in 0.. {
            attempts += 1;
            let attempt = FailedAttempt {
                earlier_failures,
                ..FAILED
            };
            if let RetryDecision::GiveUp(_) = decide(attempt, &mut budget, &mut rng) {
                break;
            }
        }
    }
    let without_budget = REQUESTS * (1 + MAX_RETRIES);
    insta::assert_snapshot!(format!("{attempts} attempts, {without_budget} without a budget"), @"11002 attempts, 40000 without a budget");
}

#[test]
fn backoff_is_jittered_and_doubles() {
    let mut rng = Rng::with_seed(1);
    let mut report = String::new();
    for earlier_failures in [0, 1, 2, 10, 200] {
        let backoffs: Vec<u64> = (0..1_000)
            .map(|_| backoff_ms(earlier_failures, &mut rng))
            .collect();
        let (min, max) = (
            backoffs.iter().min().unwrap(),
            backoffs.iter().max().unwrap(),
        );
        report.push_str(&format!("{earlier_failures}: {min} to {max}\n"));
    }
    insta::assert_snapshot!(report, @"
    0: 0 to 50
    1: 0 to 100
    2: 0 to 200
    10: 3 to 2000
    200: 0 to 1994
    ");
}
