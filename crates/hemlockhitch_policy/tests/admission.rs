//! Admission control: order, fairness, early refusal and divided rate limits.

use std::collections::{BTreeMap, HashMap, HashSet};

use hemlockhitch_model::{Class, Now};
use hemlockhitch_policy::admission::{
    AdmissionController, AdmissionDecision, AdmissionSettings, Arrival, RefusalReason, Released,
    Ticket,
};
use quickcheck::{Gen, QuickCheck};

fn at(mono_ms: u64) -> Now {
    Now {
        mono_ms,
        unix_ms: 1_700_000_000_000 + mono_ms,
    }
}

fn arrival(organisation: &str, class: Class) -> Arrival {
    Arrival {
        organisation: organisation.into(),
        weight: 1,
        limit_per_s: 1_000_000,
        class,
        max_wait_ms: 600_000,
    }
}

fn controller(capacity: u32) -> AdmissionController {
    AdmissionController::new(AdmissionSettings::new().capacity(capacity))
}

/// Fills a node, offers `waiting`, and returns the order in which these are admitted.
fn admission_order(mut controller: AdmissionController, waiting: &[(&str, Arrival)]) -> String {
    while controller.offer(&arrival("filler", Class::Till), at(0)) == AdmissionDecision::Admit {}
    let mut names: HashMap<Ticket, &str> = HashMap::new();
    for (name, arrival) in waiting {
        if let AdmissionDecision::Queue(ticket) = controller.offer(arrival, at(0)) {
            names.insert(ticket, name);
        }
    }
    let mut admission_order: Vec<&str> = Vec::new();
    while admission_order.len() < names.len() {
        let admitted = controller.finish(100, at(1)).admitted;
        admission_order.extend(
            admitted
                .iter()
                .filter_map(|ticket| names.get(ticket).copied()),
        );
    }
    admission_order.join(" ")
}

#[test]
fn classes_are_admitted_in_order_of_priority() {
    let waiting: Vec<_> = Class::ALL
        .into_iter()
        .rev()
        .map(|class| (class.as_str(), arrival("a", class)))
        .collect();
    insta::assert_snapshot!(admission_order(controller(1), &waiting), @"till chat lookup summary overnight");
}

#[test]
fn organisations_share_by_weight() {
    let heavy = Arrival {
        weight: 2,
        ..arrival("heavy", Class::Chat)
    };
    let light = arrival("light", Class::Chat);
    let mut waiting = vec![("h", heavy); 6];
    waiting.extend(vec![("l", light); 3]);
    insta::assert_snapshot!(admission_order(controller(1), &waiting), @"h l h h l h h l h");
}

#[test]
fn lowest_class_is_not_starved() {
    let mut waiting = vec![("c", arrival("a", Class::Chat)); 40];
    waiting.push(("o", arrival("b", Class::Overnight)));
    let admission_order = admission_order(controller(4), &waiting);
    insta::assert_snapshot!(admission_order.find('o').unwrap() / 2, @"14");
}

#[test]
fn capacity_is_reserved_for_higher_classes() {
    let mut report = String::new();
    for class in Class::ALL {
        let mut controller = controller(20);
        let admitted = (0..30)
            .filter(|_| controller.offer(&arrival("a", class), at(0)) == AdmissionDecision::Admit);
        report.push_str(&format!("{class} {} ", admitted.count()));
    }
    insta::assert_snapshot!(report, @"till 20 chat 20 lookup 19 summary 18 overnight 15");
}

#[test]
fn arrivals_with_too_long_a_wait_are_refused_at_once() {
    let mut controller = AdmissionController::new(
        AdmissionSettings::new()
            .capacity(2_u32)
            .expected_run_ms(1_000_u64)
            .queue_limit(8_usize),
    );
    let mut report = String::new();
    for (count, max_wait_ms) in [(6, 1_000), (8, 600_000)] {
        for _ in 0..count {
            let arrival = Arrival {
                max_wait_ms,
                ..arrival("a", Class::Chat)
            };
            let decision = match controller.offer(&arrival, at(0)) {
                AdmissionDecision::Admit => "admit",
                AdmissionDecision::Queue(_) => "queue",
                AdmissionDecision::Refuse { reason, .. } => match reason {
                    RefusalReason::RateLimited => "over-rate",
                    RefusalReason::WaitTooLong => "late",
                    RefusalReason::QueueFull => "full",
                },
            };
            report.push_str(decision);
            report.push(' ');
        }
    }
    insta::assert_snapshot!(report.trim(), @"admit admit queue queue late late queue queue queue queue queue queue full full");
}

/// Each ticket leaves the queue once, none is admitted after its deadline, and the
/// running requests never exceed the capacity.
#[test]
fn tickets_leave_the_queue_once() {
    fn holds(steps: Vec<(u8, u8, u8)>) -> bool {
        const CAPACITY: u32 = 4;
        let mut controller = controller(CAPACITY);
        let mut deadlines: HashMap<Ticket, u64> = HashMap::new();
        let mut left_queue = HashSet::new();
        let mut mono_ms = 0;
        for (action, value, elapsed_ms) in steps {
            mono_ms += u64::from(elapsed_ms);
            let now = at(mono_ms);
            let mut released = Released::default();
            match action % 6 {
                0..=2 => {
                    let max_wait_ms = u64::from(value) * 40;
                    let class = Class::ALL[usize::from(value) % 5];
                    let arrival = Arrival {
                        max_wait_ms,
                        ..arrival(&(value % 3).to_string(), class)
                    };
                    if let AdmissionDecision::Queue(ticket) = controller.offer(&arrival, now) {
                        deadlines.insert(ticket, mono_ms + max_wait_ms);
                    }
                }
                3 if controller.running() > 0 => released = controller.finish(50, now),
                4 => released = controller.expire(now),
                _ => {
                    let mut waiting: Vec<_> = deadlines
                        .keys()
                        .copied()
                        .filter(|t| !left_queue.contains(t))
                        .collect();
                    waiting.sort_unstable();
                    if let Some(ticket) = waiting.get(usize::from(value) % waiting.len().max(1)) {
                        left_queue.insert(*ticket);
                        if !controller.cancel(*ticket) || controller.cancel(*ticket) {
                            return false;
                        }
                    }
                }
            }
            let in_time = released
                .admitted
                .iter()
                .all(|ticket| deadlines[ticket] > mono_ms);
            let late = released
                .expired
                .iter()
                .all(|ticket| deadlines[ticket] <= mono_ms);
            let mut leaving = released.admitted.iter().chain(&released.expired);
            let leave_once = leaving.all(|ticket| left_queue.insert(*ticket));
            let counted = controller.waiting() == deadlines.len() - left_queue.len();
            if !(in_time && late && leave_once && counted && controller.running() <= CAPACITY) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 11))
        .tests(300)
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn rate_limit_is_divided_over_nodes() {
    // Each line: live nodes, and requests admitted in 20 s with a limit of 50 per second.
    let mut report = String::new();
    for live_nodes in [1_u32, 8, 340] {
        let settings = AdmissionSettings::new()
            .capacity(1_000_000_u32)
            .live_nodes(live_nodes);
        let mut nodes = vec![AdmissionController::new(settings); live_nodes as usize];
        let arrival = Arrival {
            limit_per_s: 50,
            ..arrival("a", Class::Chat)
        };
        let mut admitted_count = 0;
        for mono_ms in (0..20_000).step_by(100) {
            for node in &mut nodes {
                for _ in 0..12 {
                    admitted_count +=
                        u32::from(node.offer(&arrival, at(mono_ms)) == AdmissionDecision::Admit);
                }
            }
        }
        report.push_str(&format!("{live_nodes}: {admitted_count}\n"));
    }
    insta::assert_snapshot!(report, @"
    1: 1095
    8: 1088
    340: 1020
    ");
}

/// When a refused caller retries.
#[derive(Clone, Copy)]
enum RetryBehaviour {
    RetryAfter,
    EverySecond,
}

/// Simulates callers that all arrive at the same time. Returns the number of offers, the
/// maximum in one second after the first, and the time of the last completion.
fn simulate_simultaneous_callers(retry: RetryBehaviour) -> (u32, u32, u64) {
    const CALLERS: u32 = 2_000;
    const RUN_MS: u64 = 500;
    let settings = AdmissionSettings::new()
        .capacity(20_u32)
        .expected_run_ms(RUN_MS);
    let mut controller = AdmissionController::new(settings);
    let mut arrivals: BTreeMap<u64, u32> = BTreeMap::from([(0, CALLERS)]);
    let mut completions: BTreeMap<u64, u32> = BTreeMap::new();
    let mut per_second: BTreeMap<u64, u32> = BTreeMap::new();
    let arrival = Arrival {
        max_wait_ms: 2_000,
        ..arrival("a", Class::Chat)
    };
    let mut last_ms = 0;
    while let Some(mono_ms) = arrivals.keys().chain(completions.keys()).min().copied() {
        let now = at(mono_ms);
        for _ in 0..completions.remove(&mono_ms).unwrap_or(0) {
            last_ms = mono_ms;
            let released = controller.finish(RUN_MS, now);
            *completions.entry(mono_ms + RUN_MS).or_default() += released.admitted.len() as u32;
            *arrivals.entry(mono_ms + 1_000).or_default() += released.expired.len() as u32;
        }
        completions.retain(|_, count| *count > 0);
        for _ in 0..arrivals.remove(&mono_ms).unwrap_or(0) {
            *per_second.entry(mono_ms / 1_000).or_default() += 1;
            match controller.offer(&arrival, now) {
                AdmissionDecision::Admit => *completions.entry(mono_ms + RUN_MS).or_default() += 1,
                AdmissionDecision::Queue(_) => {}
                AdmissionDecision::Refuse { retry_after_ms, .. } => {
                    let after_ms = match retry {
                        RetryBehaviour::RetryAfter => retry_after_ms,
                        RetryBehaviour::EverySecond => 1_000,
                    };
                    *arrivals.entry(mono_ms + after_ms).or_default() += 1;
                }
            }
        }
    }
    let offers = per_second.values().sum();
    let max_per_second = per_second.values().skip(1).max().copied().unwrap_or(0);
    (offers, max_per_second, last_ms)
}

#[test]
fn refused_callers_retry_at_the_drain_rate() {
    let report = [
        ("Retry-After", RetryBehaviour::RetryAfter),
        ("every second", RetryBehaviour::EverySecond),
    ]
    .map(|(name, retry)| {
        let (offers, max_per_second, last_ms) = simulate_simultaneous_callers(retry);
        format!(
            "{name}: {offers} offers, at most {max_per_second} in a second, done at {last_ms} ms"
        )
    });
    insta::assert_snapshot!(report.join("\n"), @"
    Retry-After: 3958 offers, at most 57 in a second, done at 52719 ms
    every second: 48100 offers, at most 1900 in a second, done at 50000 ms
    ");
}

/// Returns the median and the maximum wait of a small organisation's requests beside a
/// large organisation's, in milliseconds.
fn waits_beside_a_large_organisation(fair: bool) -> (u64, u64) {
    const RUN_MS: u64 = 100;
    let mut controller = controller(4);
    let mut completions: BTreeMap<u64, u32> = BTreeMap::new();
    let mut arrived: HashMap<Ticket, u64> = HashMap::new();
    let mut waits = Vec::new();
    for mono_ms in (0..30_000).step_by(20) {
        let now = at(mono_ms);
        for _ in 0..completions.remove(&mono_ms).unwrap_or(0) {
            for ticket in controller.finish(RUN_MS, now).admitted {
                *completions.entry(mono_ms + RUN_MS).or_default() += 1;
                waits.extend(arrived.remove(&ticket).map(|from_ms| mono_ms - from_ms));
            }
        }
        let small = (mono_ms % 200 == 0).then_some("small");
        for name in std::iter::repeat_n("large", 2).chain(small) {
            let organisation_name = if fair { name } else { "all" };
            match controller.offer(&arrival(organisation_name, Class::Chat), now) {
                AdmissionDecision::Admit => *completions.entry(mono_ms + RUN_MS).or_default() += 1,
                AdmissionDecision::Queue(ticket) if name == "small" => {
                    arrived.insert(ticket, mono_ms);
                }
                _ => {}
            }
        }
    }
    waits.sort_unstable();
    (waits[waits.len() / 2], *waits.last().unwrap())
}

#[test]
fn small_organisation_is_not_delayed_by_a_large_one() {
    let fair = waits_beside_a_large_organisation(true);
    let first_come_first_served = waits_beside_a_large_organisation(false);
    insta::assert_snapshot!(
        format!("fair {fair:?} ms, first come first served {first_come_first_served:?} ms"),
        @"fair (20, 20) ms, first come first served (9420, 18520) ms"
    );
}
