//! Adaptive concurrency limit: scripted signals and a simulated endpoint.

use hemlockhitch_model::Now;
use hemlockhitch_policy::concurrency_limit::{AdaptiveLimit, LimitSignal, LoadReportSignal};
use quickcheck::{Gen, QuickCheck};

fn at(mono_ms: u64) -> Now {
    Now {
        mono_ms,
        unix_ms: 1_700_000_000_000 + mono_ms,
    }
}

fn served() -> LimitSignal {
    LimitSignal::Served { first_token_ms: 50 }
}

fn report(cold: bool, running: u32, limit: u32, age_ms: u64) -> LimitSignal {
    LimitSignal::Reported(LoadReportSignal {
        cold,
        running,
        limit,
        age_ms,
    })
}

#[test]
fn limit_after_each_sequence_of_signals() {
    // Each case lists signals and their times in milliseconds. The snapshot shows the
    // limit right after the last one.
    let warm = report(false, 8, 8, 0);
    let slow = LimitSignal::Served {
        first_token_ms: 5_000,
    };
    let cases: [(&str, &[(u64, LimitSignal)]); 12] = [
        ("unknown", &[]),
        ("warm by report", &[(0, warm)]),
        ("cold report", &[(0, warm), (1_000, report(true, 8, 8, 0))]),
        (
            "report of a lower limit",
            &[(0, warm), (1_000, report(false, 2, 3, 0))],
        ),
        (
            "refused when warm",
            &[(0, warm), (1_000, LimitSignal::Refused)],
        ),
        (
            "failed when warm",
            &[(0, warm), (1_000, LimitSignal::Failed)],
        ),
        (
            "many refusals at once",
            &[
                (0, warm),
                (1_000, LimitSignal::Refused),
                (1_100, LimitSignal::Refused),
                (1_400, LimitSignal::Failed),
            ],
        ),
        (
            "refused again",
            &[
                (0, warm),
                (1_000, LimitSignal::Refused),
                (1_600, LimitSignal::Refused),
            ],
        ),
        (
            "refused when cold, down to zero",
            &[(0, LimitSignal::Refused), (600, LimitSignal::Refused)],
        ),
        (
            "report from before the refusal",
            &[
                (0, warm),
                (1_000, LimitSignal::Refused),
                (1_300, report(false, 8, 8, 500)),
            ],
        ),
        (
            "report from after the refusal",
            &[
                (0, warm),
                (1_000, LimitSignal::Refused),
                (1_300, report(false, 4, 8, 200)),
            ],
        ),
        (
            "slow response",
            &[
                (0, warm),
                (1, served()),
                (2, served()),
                (3, served()),
                (4, served()),
                (5, served()),
                (6, served()),
                (7, served()),
                (8, served()),
                (9, slow),
            ],
        ),
    ];
    let mut rows = String::new();
    for (name, signals) in cases {
        let mut limiter = AdaptiveLimit::new(2, 8);
        let mut now = at(0);
        for (mono_ms, signal) in signals {
            now = at(*mono_ms);
            limiter.observe(*signal, now);
        }
        rows.push_str(&format!("{name}: {}\n", limiter.limit(now)));
    }
    insta::assert_snapshot!(rows, @"
    unknown: 2
    warm by report: 8
    cold report: 2
    report of a lower limit: 3
    refused when warm: 2
    failed when warm: 2
    many refusals at once: 2
    refused again: 1
    refused when cold, down to zero: 0
    report from before the refusal: 2
    report from after the refusal: 4
    slow response: 4
    ");
}

#[test]
fn increases_by_one_at_a_time_once_warm() {
    let mut limiter = AdaptiveLimit::new(1, 8);
    let mut limits = Vec::new();
    for step in 0..20 {
        let now = at(1_000 + step * 100);
        if step == 5 {
            limiter.observe(report(false, 0, 8, 0), now);
        }
        limiter.observe(served(), now);
        limits.push(limiter.limit(now));
    }
    insta::assert_snapshot!(format!("{limits:?}"), @"[1, 1, 1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4, 5, 5, 5, 6, 6, 6]");
}

#[test]
fn endpoint_without_reports_is_warm_after_its_cold_start() {
    let mut limiter = AdaptiveLimit::new(1, 8).cold_start_ms(2_000_u64);
    let limits: Vec<u32> = (0..16)
        .map(|step| {
            let now = at(step * 250);
            limiter.observe(served(), now);
            limiter.limit(now)
        })
        .collect();
    insta::assert_snapshot!(format!("{limits:?}"), @"[1, 1, 1, 1, 1, 1, 1, 1, 2, 3, 4, 5, 6, 7, 8, 8]");
}

#[test]
fn idle_endpoint_counts_as_cold_until_next_success() {
    let mut limiter = AdaptiveLimit::new(1, 8);
    limiter.observe(report(false, 8, 8, 0), at(0));
    let before = limiter.limit(at(29_999));
    let timed_out = limiter.limit(at(30_000));
    limiter.observe(served(), at(40_000));
    let after = limiter.limit(at(40_000));
    insta::assert_snapshot!(format!("{before} {timed_out} {after}"), @"8 1 8");
}

#[test]
fn backoff_doubles_and_ends() {
    let mut limiter = AdaptiveLimit::new(1, 8);
    let mut rows = String::new();
    let mut mono_ms = 0;
    for _ in 0..7 {
        limiter.observe(LimitSignal::Failed, at(mono_ms));
        let backoff_ms = (0..)
            .find(|ms| limiter.limit(at(mono_ms + ms)) > 0)
            .unwrap();
        rows.push_str(&format!("{backoff_ms} "));
        mono_ms += backoff_ms;
    }
    limiter.observe(served(), at(mono_ms));
    rows.push_str(&format!("then {}", limiter.limit(at(mono_ms))));
    insta::assert_snapshot!(rows, @"500 1000 2000 4000 8000 16000 16000 then 1");
}

/// For any sequence of signals, the limit never exceeds the warm limit, and never the
/// cold limit while the endpoint is reported as cold.
#[test]
fn limits_hold_for_any_sequence_of_signals() {
    fn holds(signals: Vec<(u8, u8, u16)>) -> bool {
        let mut limiter = AdaptiveLimit::new(2, 9).cold_start_ms(1_000_u64);
        let mut mono_ms = 0;
        let mut cold = true;
        signals.into_iter().all(|(kind, value, elapsed_ms)| {
            mono_ms += 1 + u64::from(elapsed_ms % 700);
            let now = at(mono_ms);
            let signal = match kind % 5 {
                0 | 1 => served(),
                2 => LimitSignal::Refused,
                3 => report(true, 0, 9, 0),
                _ => report(false, u32::from(value), u32::from(value), 0),
            };
            limiter.observe(signal, now);
            cold = match signal {
                LimitSignal::Refused => true,
                LimitSignal::Reported(report) => report.cold,
                _ => cold && limiter.is_cold(now),
            };
            let limit = limiter.limit(now);
            let within_reported_limit = kind % 5 < 4 || limit <= u32::from(value);
            limit <= 9 && within_reported_limit && (!cold || limit <= 2)
        })
    }
    let random = Gen::from_size_and_seed(200, 7);
    QuickCheck::new()
        .rng(random)
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// A policy for the concurrency limit.
trait LimitPolicy {
    fn limit(&self, now: Now) -> u32;
    fn observe(&mut self, signal: LimitSignal, now: Now);
}

impl LimitPolicy for AdaptiveLimit {
    fn limit(&self, now: Now) -> u32 {
        AdaptiveLimit::limit(self, now)
    }

    fn observe(&mut self, signal: LimitSignal, now: Now) {
        AdaptiveLimit::observe(self, signal, now);
    }
}

/// Always uses the warm limit.
struct FixedLimit;

impl LimitPolicy for FixedLimit {
    fn limit(&self, _now: Now) -> u32 {
        WARM_LIMIT
    }

    fn observe(&mut self, _signal: LimitSignal, _now: Now) {}
}

/// Increases by one with each served request, and drops to the cold limit after a
/// refusal or failure.
struct IncreasePerRequest(u32);

impl LimitPolicy for IncreasePerRequest {
    fn limit(&self, _now: Now) -> u32 {
        self.0
    }

    fn observe(&mut self, signal: LimitSignal, _now: Now) {
        match signal {
            LimitSignal::Served { .. } => self.0 = WARM_LIMIT.min(self.0 + 1),
            LimitSignal::Refused | LimitSignal::Failed => self.0 = COLD_LIMIT,
            LimitSignal::Reported(_) => {}
        }
    }
}

const COLD_LIMIT: u32 = 1;
const WARM_LIMIT: u32 = 8;
const STEP_MS: u64 = 10;
const SERVICE_MS: u64 = 200;
const REPORT_LAG_MS: u64 = 500;

/// The endpoint is cold for the first 10 s and, without notice, for 10 s after 60 s.
fn is_cold(mono_ms: u64) -> bool {
    mono_ms < 10_000 || (60_000..70_000).contains(&mono_ms)
}

/// Simulates an endpoint for two minutes with as many requests as the policy allows;
/// returns the number of served and of refused requests.
fn simulate(mut policy: impl LimitPolicy, reports: bool) -> (u32, u32) {
    let mut running: Vec<u64> = Vec::new();
    let mut history: Vec<u32> = Vec::new();
    let (mut served_count, mut refused_count) = (0, 0);
    for mono_ms in (0..120_000).step_by(STEP_MS as usize) {
        let now = at(mono_ms);
        let before = running.len();
        running.retain(|end_ms| *end_ms > mono_ms);
        for _ in running.len()..before {
            served_count += 1;
            policy.observe(served(), now);
        }
        history.push(u32::try_from(running.len()).unwrap());
        if reports && mono_ms % 1_000 == 0 && mono_ms >= REPORT_LAG_MS {
            let measured_ms = mono_ms - REPORT_LAG_MS;
            let cold = is_cold(measured_ms);
            let limit = if cold { COLD_LIMIT } else { WARM_LIMIT };
            let running_count = history[(measured_ms / STEP_MS) as usize];
            policy.observe(report(cold, running_count, limit, REPORT_LAG_MS), now);
        }
        let endpoint_limit = if is_cold(mono_ms) {
            COLD_LIMIT
        } else {
            WARM_LIMIT
        };
        while (running.len() as u32) < policy.limit(now) {
            if running.len() as u32 >= endpoint_limit {
                refused_count += 1;
                policy.observe(LimitSignal::Refused, now);
                break;
            }
            running.push(mono_ms + SERVICE_MS);
        }
    }
    (served_count, refused_count)
}

#[test]
fn throughput_and_refusals_compared_with_other_policies() {
    let rows = [
        ("fixed warm limit", simulate(FixedLimit, true)),
        (
            "increase per request",
            simulate(IncreasePerRequest(COLD_LIMIT), true),
        ),
        (
            "adaptive limit, no reports",
            simulate(AdaptiveLimit::new(COLD_LIMIT, WARM_LIMIT), false),
        ),
        (
            "adaptive limit, reports",
            simulate(AdaptiveLimit::new(COLD_LIMIT, WARM_LIMIT), true),
        ),
    ];
    let rows = rows.map(|(name, (served, refused_count))| {
        format!("{name}: served {served}, refused {refused_count}")
    });
    insta::assert_snapshot!(rows.join("\n"), @"
    fixed warm limit: served 4092, refused 2000
    increase per request: served 4072, refused 99
    adaptive limit, no reports: served 2601, refused 1
    adaptive limit, reports: served 3924, refused 1
    ");
}
