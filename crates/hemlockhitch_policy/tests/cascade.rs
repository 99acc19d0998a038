//! Model cascades: cost and quality compared with other strategies, with late and
//! missing ratings.

use std::collections::VecDeque;

use fastrand::Rng;
use hemlockhitch_model::Class;
use hemlockhitch_policy::cascade::{CascadeKey, CascadePolicy, CascadeRequest, ModelOption};

const TARGET_RATIO: f64 = 0.8;

/// Delay of a rating, in requests.
const RATING_DELAY_REQUESTS: usize = 50;

fn key() -> CascadeKey {
    CascadeKey {
        organisation: "karjamaa".into(),
        class: Class::Summary,
    }
}

fn options() -> [ModelOption; 3] {
    [
        ModelOption::new("small", 1.0),
        ModelOption::new("middle", 3.0),
        ModelOption::new("large", 10.0),
    ]
}

/// Draws the quality of a response around a mean.
fn draw(mean: f64, rng: &mut Rng) -> f64 {
    (mean + (rng.f64() - 0.5) * 0.3).clamp(0.0, 1.0)
}

/// A strategy for choosing the model.
#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    Large,
    Small,
    BestMean,
    Cascade,
}

/// Simulates 20,000 requests. Returns the mean cost of a request and the lowest mean
/// quality of the blocks of 1,000 requests.
///
/// `means` holds the mean quality of each model in the first and in the second half.
/// One response in five is rated; ratings arrive late, and one in ten is lost.
fn simulate(strategy: Strategy, means: [[f64; 3]; 2], seed: u64) -> (f64, f64) {
    const REQUESTS: usize = 20_000;
    let (key, options) = (key(), options());
    let request = CascadeRequest {
        key: &key,
        options: &options,
        target_ratio: TARGET_RATIO,
    };
    let mut rng = Rng::with_seed(seed);
    let mut cascade = CascadePolicy::new(0.95);
    let mut sums = [(0.0, 0.0); 3];
    let mut pending_ratings: VecDeque<(usize, usize, f64)> = VecDeque::new();
    let (mut cost, mut quality, mut min_quality) = (0.0, 0.0, f64::MAX);
    for number in 0..REQUESTS {
        while pending_ratings
            .front()
            .is_some_and(|(due_request, ..)| *due_request <= number)
        {
            let (_, index, rating) = pending_ratings.pop_front().unwrap();
            if strategy == Strategy::Cascade {
                cascade.record_rating(&key, &options[index].model, rating);
            }
            sums[index].0 += rating;
            sums[index].1 += 1.0;
        }
        let index = match strategy {
            Strategy::Large => 2,
            Strategy::Small => 0,
            // The cheapest model whose mean reaches the target, unrated models first.
            Strategy::BestMean => (0..2)
                .find(|i| sums[*i].1 < 1.0 || sums[*i].0 / sums[*i].1 >= TARGET_RATIO)
                .unwrap_or(2),
            Strategy::Cascade => cascade.choose(request, rng.f64()).index,
        };
        let response_quality = draw(means[number * 2 / REQUESTS][index], &mut rng);
        cost += options[index].cost_micros;
        quality += response_quality / 1_000.0;
        if number % 1_000 == 999 {
            min_quality = min_quality.min(quality);
            quality = 0.0;
        }
        if rng.f64() < 0.2 && rng.f64() < 0.9 {
            pending_ratings.push_back((number + RATING_DELAY_REQUESTS, index, response_quality));
        }
    }
    (cost / REQUESTS as f64, min_quality)
}

/// Summarises ten runs: mean cost, lowest mean quality of a block, and the number of
/// runs in which that quality is below the target.
fn summary(strategy: Strategy, means: [[f64; 3]; 2]) -> String {
    const RUNS: u64 = 10;
    let runs: Vec<_> = (0..RUNS)
        .map(|seed| simulate(strategy, means, seed))
        .collect();
    let cost = runs.iter().map(|run| run.0).sum::<f64>() / RUNS as f64;
    let min_quality = runs.iter().map(|run| run.1).fold(1.0, f64::min);
    let below_target = runs.iter().filter(|run| run.1 < TARGET_RATIO).count();
    format!(
        "cost {cost:.2}, lowest quality {min_quality:.3}, {below_target} of {RUNS} runs below target"
    )
}

#[test]
fn cost_and_quality_compared_with_other_strategies() {
    let steady = [[0.6, 0.84, 0.92]; 2];
    let small_suffices = [[0.86, 0.88, 0.92]; 2];
    let none_but_large = [[0.5, 0.7, 0.9]; 2];
    let middle_drops = [[0.6, 0.84, 0.92], [0.6, 0.5, 0.92]];
    let middle_just_below = [[0.6, 0.79, 0.92]; 2];
    let scenarios = [
        ("middle suffices", steady),
        ("small suffices", small_suffices),
        ("only large suffices", none_but_large),
        ("middle just misses", middle_just_below),
        ("middle drops half way", middle_drops),
    ];
    let strategies = [
        ("large", Strategy::Large),
        ("small", Strategy::Small),
        ("best mean", Strategy::BestMean),
        ("cascade", Strategy::Cascade),
    ];
    let mut report = String::new();
    for (scenario, means) in scenarios {
        for (name, strategy) in strategies {
            report.push_str(&format!(
                "{scenario}, {name}: {}\n",
                summary(strategy, means)
            ));
        }
    }
    insta::assert_snapshot!(report, @"
    middle suffices, large: cost 10.00, lowest quality 0.904, 0 of 10 runs below target
    middle suffices, small: cost 1.00, lowest quality 0.590, 10 of 10 runs below target
    middle suffices, best mean: cost 3.69, lowest quality 0.822, 0 of 10 runs below target
    middle suffices, cascade: cost 3.90, lowest quality 0.811, 0 of 10 runs below target
    small suffices, large: cost 10.00, lowest quality 0.904, 0 of 10 runs below target
    small suffices, small: cost 1.00, lowest quality 0.850, 0 of 10 runs below target
    small suffices, best mean: cost 1.00, lowest quality 0.850, 0 of 10 runs below target
    small suffices, cascade: cost 1.93, lowest quality 0.853, 0 of 10 runs below target
    only large suffices, large: cost 10.00, lowest quality 0.887, 0 of 10 runs below target
    only large suffices, small: cost 1.00, lowest quality 0.490, 10 of 10 runs below target
    only large suffices, best mean: cost 9.96, lowest quality 0.860, 0 of 10 runs below target
    only large suffices, cascade: cost 7.97, lowest quality 0.803, 0 of 10 runs below target
    middle just misses, large: cost 10.00, lowest quality 0.904, 0 of 10 runs below target
    middle just misses, small: cost 1.00, lowest quality 0.590, 10 of 10 runs below target
    middle just misses, best mean: cost 9.93, lowest quality 0.839, 0 of 10 runs below target
    middle just misses, cascade: cost 7.43, lowest quality 0.827, 0 of 10 runs below target
    middle drops half way, large: cost 10.00, lowest quality 0.904, 0 of 10 runs below target
    middle drops half way, small: cost 1.00, lowest quality 0.590, 10 of 10 runs below target
    middle drops half way, best mean: cost 6.42, lowest quality 0.495, 9 of 10 runs below target
    middle drops half way, cascade: cost 6.35, lowest quality 0.731, 10 of 10 runs below target
    ");
}

/// Every lower bound holds in at least the stated fraction of the runs.
#[test]
fn bounds_hold_with_the_stated_confidence() {
    const RUNS: u64 = 400;
    let (key, options) = (key(), options());
    let request = CascadeRequest {
        key: &key,
        options: &options[..1],
        target_ratio: 0.0,
    };
    let mut miscovered_runs = 0;
    for seed in 0..RUNS {
        let mut rng = Rng::with_seed(seed);
        let mut cascade = CascadePolicy::new(0.95);
        let is_miscovered = (0..900).any(|_| {
            let rating = if rng.f64() < 0.8 { 1.0 } else { 0.0 };
            cascade.record_rating(&key, &options[0].model, rating);
            let above = CascadeRequest {
                target_ratio: 0.8 + 1e-9,
                ..request
            };
            cascade.choose(above, 1.0).reason
                != hemlockhitch_policy::cascade::ChoiceReason::NoneConfident
        });
        miscovered_runs += u32::from(is_miscovered);
    }
    insta::assert_snapshot!(format!("{miscovered_runs} of {RUNS} runs miscovered, 20 allowed"), @"8 of 400 runs miscovered, 20 allowed");
}

#[test]
fn drafts_and_escalation() {
    let (key, options) = (key(), options());
    let request = CascadeRequest {
        key: &key,
        options: &options,
        target_ratio: TARGET_RATIO,
    };
    let mut report = String::new();
    // Fractions of the drafts of the small and the middle model that pass.
    for (small, middle) in [(0.9, 0.9), (0.05, 0.9), (0.05, 0.1), (0.5, 0.05)] {
        let mut cascade = CascadePolicy::new(0.95);
        for number in 0..200 {
            let passes = |part: f64| (f64::from(number) * part).fract() + part >= 1.0;
            let rating = |part: f64| if passes(part) { 0.9 } else { 0.4 };
            cascade.record_rating(&key, &options[0].model, rating(small));
            cascade.record_rating(&key, &options[1].model, rating(middle));
        }
        let first = cascade.choose_draft(request).index;
        let poor = cascade.escalate(request, first, Some(0.4));
        let good = cascade.escalate(request, first, Some(0.85));
        let unrated = cascade.escalate(request, first, None);
        report.push_str(&format!(
            "{small} {middle}: first {first}, poor {poor:?}, good {good:?}, unrated {unrated:?}\n"
        ));
    }
    insta::assert_snapshot!(report, @"
    0.9 0.9: first 0, poor Some(1), good None, unrated Some(1)
    0.05 0.9: first 1, poor Some(2), good None, unrated Some(2)
    0.05 0.1: first 2, poor None, good None, unrated None
    0.5 0.05: first 0, poor Some(2), good None, unrated Some(2)
    ");
}

#[test]
fn forgotten_model_is_not_confident() {
    let (key, options) = (key(), options());
    let request = CascadeRequest {
        key: &key,
        options: &options,
        target_ratio: TARGET_RATIO,
    };
    let mut cascade = CascadePolicy::new(0.95);
    for _ in 0..500 {
        cascade.record_rating(&key, &options[0].model, 0.95);
        cascade.record_rating(&key, &options[0].model, f64::NAN);
    }
    let before = cascade.choose(request, 0.99).index;
    cascade.forget_model(&options[0].model);
    let after = cascade.choose(request, 0.99).index;
    insta::assert_snapshot!(format!("{before} then {after}"), @"0 then 2");
}
