//! Cascades: cost and quality against other rules, late and missing ratings.

use std::collections::VecDeque;

use fastrand::Rng;
use hemlockhitch_model::Class;
use hemlockhitch_policy::cascade::{CascadeKey, Cascades, ModelOption, Request};

const TARGET: f64 = 0.8;

/// Requests after which a rating arrives.
const RATING_DELAY: usize = 50;

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

/// Draws the quality of an answer around a mean.
fn draw(mean: f64, rng: &mut Rng) -> f64 {
    (mean + (rng.f64() - 0.5) * 0.3).clamp(0.0, 1.0)
}

/// How the model is chosen.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    Large,
    Small,
    BestMean,
    Cascade,
}

/// Cost for each request and lowest mean quality of 1,000 in a row, of 20,000
/// requests; `means` holds the
/// qualities in the first and in the second half. A rating comes for one answer
/// in five, late, and one in ten of those is lost.
fn drive(rule: Rule, means: [[f64; 3]; 2], seed: u64) -> (f64, f64) {
    const REQUESTS: usize = 20_000;
    let (key, options) = (key(), options());
    let request = Request {
        key: &key,
        options: &options,
        target_ratio: TARGET,
    };
    let mut rng = Rng::with_seed(seed);
    let mut cascades = Cascades::new(0.95);
    let mut sums = [(0.0, 0.0); 3];
    let mut late: VecDeque<(usize, usize, f64)> = VecDeque::new();
    let (mut cost, mut quality, mut lowest) = (0.0, 0.0, f64::MAX);
    for number in 0..REQUESTS {
        while late.front().is_some_and(|(due, ..)| *due <= number) {
            let (_, index, rating) = late.pop_front().unwrap();
            if rule == Rule::Cascade {
                cascades.rate(&key, &options[index].model, rating);
            }
            sums[index].0 += rating;
            sums[index].1 += 1.0;
        }
        let index = match rule {
            Rule::Large => 2,
            Rule::Small => 0,
            // The cheapest whose mean reaches the target; unknown ones first.
            Rule::BestMean => (0..2)
                .find(|i| sums[*i].1 < 1.0 || sums[*i].0 / sums[*i].1 >= TARGET)
                .unwrap_or(2),
            Rule::Cascade => cascades.choose(request, rng.f64()).index,
        };
        let answer = draw(means[number * 2 / REQUESTS][index], &mut rng);
        cost += options[index].cost_micros;
        quality += answer / 1_000.0;
        if number % 1_000 == 999 {
            lowest = lowest.min(quality);
            quality = 0.0;
        }
        if rng.f64() < 0.2 && rng.f64() < 0.9 {
            late.push_back((number + RATING_DELAY, index, answer));
        }
    }
    (cost / REQUESTS as f64, lowest)
}

/// Mean cost, lowest mean quality of 1,000 requests, and runs in which that is
/// under the target.
fn summary(rule: Rule, means: [[f64; 3]; 2]) -> String {
    const RUNS: u64 = 10;
    let runs: Vec<_> = (0..RUNS).map(|seed| drive(rule, means, seed)).collect();
    let cost = runs.iter().map(|run| run.0).sum::<f64>() / RUNS as f64;
    let lowest = runs.iter().map(|run| run.1).fold(1.0, f64::min);
    let under = runs.iter().filter(|run| run.1 < TARGET).count();
    format!("cost {cost:.2}, lowest quality {lowest:.3}, {under} of {RUNS} under")
}

#[test]
fn against_other_rules() {
    let steady = [[0.6, 0.84, 0.92]; 2];
    let small_suffices = [[0.86, 0.88, 0.92]; 2];
    let none_but_large = [[0.5, 0.7, 0.9]; 2];
    let middle_falls = [[0.6, 0.84, 0.92], [0.6, 0.5, 0.92]];
    let middle_just_below = [[0.6, 0.79, 0.92]; 2];
    let scenes = [
        ("middle suffices", steady),
        ("small suffices", small_suffices),
        ("only large suffices", none_but_large),
        ("middle just misses", middle_just_below),
        ("middle falls half way", middle_falls),
    ];
    let rules = [
        ("large", Rule::Large),
        ("small", Rule::Small),
        ("best mean", Rule::BestMean),
        ("cascade", Rule::Cascade),
    ];
    let mut rows = String::new();
    for (scene, means) in scenes {
        for (name, rule) in rules {
            rows.push_str(&format!("{scene}, {name}: {}\n", summary(rule, means)));
        }
    }
    insta::assert_snapshot!(rows, @"
    middle suffices, large: cost 10.00, lowest quality 0.904, 0 of 10 under
    middle suffices, small: cost 1.00, lowest quality 0.590, 10 of 10 under
    middle suffices, best mean: cost 3.69, lowest quality 0.822, 0 of 10 under
    middle suffices, cascade: cost 3.90, lowest quality 0.811, 0 of 10 under
    small suffices, large: cost 10.00, lowest quality 0.904, 0 of 10 under
    small suffices, small: cost 1.00, lowest quality 0.850, 0 of 10 under
    small suffices, best mean: cost 1.00, lowest quality 0.850, 0 of 10 under
    small suffices, cascade: cost 1.93, lowest quality 0.853, 0 of 10 under
    only large suffices, large: cost 10.00, lowest quality 0.887, 0 of 10 under
    only large suffices, small: cost 1.00, lowest quality 0.490, 10 of 10 under
    only large suffices, best mean: cost 9.96, lowest quality 0.860, 0 of 10 under
    only large suffices, cascade: cost 7.97, lowest quality 0.803, 0 of 10 under
    middle just misses, large: cost 10.00, lowest quality 0.904, 0 of 10 under
    middle just misses, small: cost 1.00, lowest quality 0.590, 10 of 10 under
    middle just misses, best mean: cost 9.93, lowest quality 0.839, 0 of 10 under
    middle just misses, cascade: cost 7.43, lowest quality 0.827, 0 of 10 under
    middle falls half way, large: cost 10.00, lowest quality 0.904, 0 of 10 under
    middle falls half way, small: cost 1.00, lowest quality 0.590, 10 of 10 under
    middle falls half way, best mean: cost 6.42, lowest quality 0.495, 9 of 10 under
    middle falls half way, cascade: cost 6.35, lowest quality 0.731, 10 of 10 under
    ");
}

/// The true mean lies above every bound in all but the stated part of the runs.
#[test]
fn bounds_hold_with_the_stated_confidence() {
    const RUNS: u64 = 400;
    let (key, options) = (key(), options());
    let request = Request {
        key: &key,
        options: &options[..1],
        target_ratio: 0.0,
    };
    let mut missed = 0;
    for seed in 0..RUNS {
        let mut rng = Rng::with_seed(seed);
        let mut cascades = Cascades::new(0.95);
        let misses = (0..900).any(|_| {
            let rating = if rng.f64() < 0.8 { 1.0 } else { 0.0 };
            cascades.rate(&key, &options[0].model, rating);
            let above = Request {
                target_ratio: 0.8 + 1e-9,
                ..request
            };
            cascades.choose(above, 1.0).reason
                != hemlockhitch_policy::cascade::ChoiceReason::NoneSure
        });
        missed += u32::from(misses);
    }
    insta::assert_snapshot!(format!("{missed} of {RUNS} missed, 20 allowed"), @"8 of 400 missed, 20 allowed");
}

#[test]
fn drafts() {
    let (key, options) = (key(), options());
    let request = Request {
        key: &key,
        options: &options,
        target_ratio: TARGET,
    };
    let mut rows = String::new();
    // the part of the drafts of small and middle that pass
    for (small, middle) in [(0.9, 0.9), (0.05, 0.9), (0.05, 0.1), (0.5, 0.05)] {
        let mut cascades = Cascades::new(0.95);
        for number in 0..200 {
            let passes = |part: f64| (f64::from(number) * part).fract() + part >= 1.0;
            let rating = |part: f64| if passes(part) { 0.9 } else { 0.4 };
            cascades.rate(&key, &options[0].model, rating(small));
            cascades.rate(&key, &options[1].model, rating(middle));
        }
        let first = cascades.choose_draft(request).index;
        let poor = cascades.escalate(request, first, Some(0.4));
        let good = cascades.escalate(request, first, Some(0.85));
        let unrated = cascades.escalate(request, first, None);
        rows.push_str(&format!(
            "{small} {middle}: first {first}, poor {poor:?}, good {good:?}, unrated {unrated:?}\n"
        ));
    }
    insta::assert_snapshot!(rows, @"
    0.9 0.9: first 0, poor Some(1), good None, unrated Some(1)
    0.05 0.9: first 1, poor Some(2), good None, unrated Some(2)
    0.05 0.1: first 2, poor None, good None, unrated None
    0.5 0.05: first 0, poor Some(2), good None, unrated Some(2)
    ");
}

#[test]
fn forgotten_model_is_not_sure() {
    let (key, options) = (key(), options());
    let request = Request {
        key: &key,
        options: &options,
        target_ratio: TARGET,
    };
    let mut cascades = Cascades::new(0.95);
    for _ in 0..500 {
        cascades.rate(&key, &options[0].model, 0.95);
        cascades.rate(&key, &options[0].model, f64::NAN);
    }
    let before = cascades.choose(request, 0.99).index;
    cascades.forget(&options[0].model);
    let after = cascades.choose(request, 0.99).index;
    insta::assert_snapshot!(format!("{before} then {after}"), @"0 then 2");
}
