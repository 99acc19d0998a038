//! Roll-out guard: false alarms, exposure and missing observations.

use fastrand::Rng;
use hemlockhitch_model::{NodeName, Now, VersionName};
use hemlockhitch_policy::guard::{Exposure, Guard, GuardSettings, GuardVerdict, Observation};

fn at(mono_ms: u64) -> Now {
    Now {
        mono_ms,
        unix_ms: 1_700_000_000_000 + mono_ms,
    }
}

fn old() -> VersionName {
    VersionName::from("m@1")
}

fn new() -> VersionName {
    VersionName::from("m@2")
}

fn guard() -> Guard {
    let mut guard = Guard::new(GuardSettings::new());
    guard.watch(new(), old());
    guard
}

/// Outcome distribution of a version's requests.
#[derive(Clone, Copy)]
struct Behaviour {
    error_ratio: f64,
    rating_ratio: f64,
    slow_ratio: f64,
}

const GOOD: Behaviour = Behaviour {
    error_ratio: 0.02,
    rating_ratio: 0.8,
    slow_ratio: 0.05,
};

/// One request in this many is rated, if it was served.
const RATING_INTERVAL_REQUESTS: u32 = 5;

/// Draws the observations of one request.
fn draw(behaviour: Behaviour, rng: &mut Rng, number: u32) -> Vec<Observation> {
    if rng.f64() < behaviour.error_ratio {
        return vec![Observation::Failed];
    }
    let slow = rng.f64() < behaviour.slow_ratio;
    let first_token_ms = if slow { 3_000 } else { 300 };
    let mut observations = vec![Observation::Served { first_token_ms }];
    if number.is_multiple_of(RATING_INTERVAL_REQUESTS) {
        let rating_ratio = (behaviour.rating_ratio + (rng.f64() - 0.5) * 0.4).clamp(0.0, 1.0);
        observations.push(Observation::Rated { rating_ratio });
    }
    observations
}

/// A stopping rule for the new version.
trait StoppingRule {
    /// Records an observation; returns whether the new version is stopped.
    fn observe(&mut self, is_new: bool, observation: Observation) -> bool;
}

impl StoppingRule for Guard {
    fn observe(&mut self, is_new: bool, observation: Observation) -> bool {
        let version = if is_new { new() } else { old() };
        let verdict = Guard::observe(self, &version, observation, at(0));
        matches!(verdict, GuardVerdict::Stop(_))
    }
}

/// Repeats a fixed-sample test of the error ratios at the 1% level after every
/// request, without correction for repeated testing.
#[derive(Default)]
struct RepeatedTest {
    failed: [f64; 2],
    total: [f64; 2],
}

impl StoppingRule for RepeatedTest {
    fn observe(&mut self, is_new: bool, observation: Observation) -> bool {
        let failed = match observation {
            Observation::Failed => 1.0,
            Observation::Served { .. } => 0.0,
            _ => return false,
        };
        self.failed[usize::from(is_new)] += failed;
        self.total[usize::from(is_new)] += 1.0;
        let [old, new] = self.total;
        let pooled = (self.failed[0] + self.failed[1]) / (old + new);
        let deviation = (pooled * (1.0 - pooled) * (1.0 / old + 1.0 / new)).sqrt();
        let gap = self.failed[1] / new - self.failed[0] / old;
        old.min(new) >= 20.0 && gap > 2.33 * deviation
    }
}

/// Returns the number of requests of the new version until it was stopped, or `None`
/// if it was not stopped within `requests`.
fn stopped_after(
    mut rule: impl StoppingRule,
    behaviour: Behaviour,
    new_share: f64,
    requests: u32,
    seed: u64,
) -> Option<u32> {
    let mut rng = Rng::with_seed(seed);
    let (mut number, mut exposed) = (0, 0);
    while exposed < requests {
        number += 1;
        let is_new = rng.f64() < new_share;
        exposed += u32::from(is_new);
        let drawn = draw(if is_new { behaviour } else { GOOD }, &mut rng, number);
        for observation in drawn {
            if rule.observe(is_new, observation) {
                return Some(exposed);
            }
        }
    }
    None
}

fn summary(exposures: &[Option<u32>]) -> String {
    let mut stopped: Vec<u32> = exposures.iter().flatten().copied().collect();
    stopped.sort_unstable();
    let runs = exposures.len();
    match stopped.as_slice() {
        [] => format!("stopped in 0 of {runs} runs"),
        [.., worst] => {
            let median = stopped[stopped.len() / 2];
            let count = stopped.len();
            format!("stopped in {count} of {runs} runs, median {median}, worst {worst}")
        }
    }
}

#[test]
fn false_alarms_compared_with_repeated_tests() {
    const RUNS: u64 = 200;
    const REQUESTS: u32 = 1_500;
    let by_guard: Vec<_> = (0..RUNS)
        .map(|seed| stopped_after(guard(), GOOD, 0.3, REQUESTS, seed))
        .collect();
    let repeated: Vec<_> = (0..RUNS)
        .map(|seed| stopped_after(RepeatedTest::default(), GOOD, 0.3, REQUESTS, seed))
        .collect();
    let tolerated = Behaviour {
        error_ratio: 0.04,
        rating_ratio: 0.77,
        slow_ratio: 0.1,
    };
    let at_tolerance: Vec<_> = (0..RUNS)
        .map(|seed| stopped_after(guard(), tolerated, 0.3, REQUESTS, seed))
        .collect();
    let report = [
        format!("guard: {}", summary(&by_guard)),
        format!("guard, at the tolerance: {}", summary(&at_tolerance)),
        format!("repeated test: {}", summary(&repeated)),
    ];
    insta::assert_snapshot!(report.join("\n"), @"
    guard: stopped in 0 of 200 runs
    guard, at the tolerance: stopped in 0 of 200 runs
    repeated test: stopped in 30 of 200 runs, median 99, worst 1159
    ");
}

#[test]
fn exposure_to_bad_versions() {
    const RUNS: u64 = 100;
    let cases = [
        (
            "fails all",
            Behaviour {
                error_ratio: 1.0,
                ..GOOD
            },
        ),
        (
            "fails one in two",
            Behaviour {
                error_ratio: 0.5,
                ..GOOD
            },
        ),
        (
            "fails one in five",
            Behaviour {
                error_ratio: 0.2,
                ..GOOD
            },
        ),
        (
            "rated 0.3 worse",
            Behaviour {
                rating_ratio: 0.5,
                ..GOOD
            },
        ),
        (
            "rated 0.15 worse",
            Behaviour {
                rating_ratio: 0.65,
                ..GOOD
            },
        ),
        (
            "slow in one of two",
            Behaviour {
                slow_ratio: 0.5,
                ..GOOD
            },
        ),
    ];
    let mut report = String::new();
    for (name, behaviour) in cases {
        let exposures: Vec<_> = (0..RUNS)
            .map(|seed| stopped_after(guard(), behaviour, 0.1, 5_000, seed))
            .collect();
        report.push_str(&format!("{name}: {}\n", summary(&exposures)));
    }
    insta::assert_snapshot!(report, @"
    fails all: stopped in 100 of 100 runs, median 12, worst 14
    fails one in two: stopped in 100 of 100 runs, median 24, worst 64
    fails one in five: stopped in 100 of 100 runs, median 78, worst 175
    rated 0.3 worse: stopped in 100 of 100 runs, median 175, worst 265
    rated 0.15 worse: stopped in 100 of 100 runs, median 388, worst 534
    slow in one of two: stopped in 100 of 100 runs, median 31, worst 71
    ");
}

#[test]
fn version_that_fails_every_request_is_stopped_within_pairs_to_stop() {
    let bound = GuardSettings::new().pairs_to_stop(1.0).unwrap();
    let mut guard = guard();
    let mut pairs = 0;
    loop {
        pairs += 1;
        let served = Observation::Served {
            first_token_ms: 100,
        };
        guard.observe(&old(), served, at(0));
        let verdict = guard.observe(&new(), Observation::Failed, at(0));
        if verdict != GuardVerdict::Continue {
            break;
        }
    }
    insta::assert_snapshot!(format!("stopped after {pairs}, bound {bound}"), @"stopped after 12, bound 12");
    assert!(pairs <= bound);
    assert_eq!(guard.try_start_request(&new()), Exposure::Stopped);
    assert_eq!(guard.try_start_request(&old()), Exposure::Allowed);
}

#[test]
fn outstanding_requests_are_bounded() {
    let mut guard = guard();
    let limit = GuardSettings::new().outstanding_limit;
    let allowed = (0..100)
        .filter(|_| guard.try_start_request(&new()) == Exposure::Allowed)
        .count();
    assert_eq!(allowed, limit as usize);
    assert_eq!(guard.try_start_request(&new()), Exposure::AtLimit);
    guard.observe(&new(), Observation::Abandoned, at(0));
    assert_eq!(guard.try_start_request(&new()), Exposure::Allowed);
}

#[test]
fn baseline_without_traffic_falls_back_to_its_long_term_mean() {
    // Each line: earlier requests of the baseline, and failures of the new version
    // before it is stopped.
    let mut report = String::new();
    for baseline_requests in [0, 50] {
        let mut guard = guard();
        for _ in 0..baseline_requests {
            let served = Observation::Served {
                first_token_ms: 100,
            };
            guard.observe(&old(), served, at(0));
        }
        guard.observe(&new(), Observation::Abandoned, at(0));
        let after = (0..1_000_u64).find(|number| {
            let now = at(number * 10_000);
            guard.observe(&new(), Observation::Failed, now) != GuardVerdict::Continue
        });
        report.push_str(&format!("{baseline_requests}: {after:?}\n"));
    }
    insta::assert_snapshot!(report, @"
    0: Some(25)
    50: Some(16)
    ");
}

#[test]
fn peers_combine_their_evidence() {
    // Each line: failures that each node observes before all nodes stop the version.
    let mut report = String::new();
    for count in [1, 3, 9] {
        let mut guards: Vec<Guard> = (0..count).map(|_| guard()).collect();
        let mut failures_per_node = 0;
        let mut stopped = false;
        while !stopped && failures_per_node < 100 {
            failures_per_node += 1;
            for guard in &mut guards {
                let served = Observation::Served {
                    first_token_ms: 100,
                };
                guard.observe(&old(), served, at(0));
                guard.observe(&new(), Observation::Failed, at(0));
            }
            let evidence: Vec<_> = guards.iter().map(|g| g.evidence(&new()).unwrap()).collect();
            for (own, guard) in guards.iter_mut().enumerate() {
                for (peer, evidence) in evidence.iter().enumerate().filter(|(peer, _)| *peer != own)
                {
                    let node = NodeName::from(format!("n{peer}"));
                    guard.merge(&new(), node, *evidence);
                }
            }
            stopped = guards
                .iter_mut()
                .all(|g| g.try_start_request(&new()) == Exposure::Stopped);
        }
        report.push_str(&format!(
            "{count} nodes: {failures_per_node} failures each\n"
        ));
    }
    insta::assert_snapshot!(report, @"
    1 nodes: 12 failures each
    3 nodes: 4 failures each
    9 nodes: 2 failures each
    ");
}

#[test]
fn stop_lasts_until_the_roll_out_is_watched_again() {
    let mut guard = guard();
    for _ in 0..50 {
        let served = Observation::Served {
            first_token_ms: 100,
        };
        guard.observe(&old(), served, at(0));
        guard.observe(&new(), Observation::Failed, at(0));
    }
    for _ in 0..500 {
        let served = Observation::Served {
            first_token_ms: 100,
        };
        guard.observe(&old(), Observation::Failed, at(0));
        guard.observe(&new(), served, at(0));
    }
    assert_eq!(guard.try_start_request(&new()), Exposure::Stopped);
    guard.watch(new(), old());
    assert_eq!(guard.try_start_request(&new()), Exposure::Allowed);
}
