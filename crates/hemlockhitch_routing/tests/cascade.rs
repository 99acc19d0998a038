//! Model cascades under simulated loads.

mod support;

use hemlockhitch_routing::cascade::{
    ConfidenceGains, EscalationInput, FirstEventSample, LatencyPressure, Step,
    escalation_threshold_percent,
};
use support::at;

/// Returns the next size before any escalation has been observed.
fn next_size(input: EscalationInput, pressure: &LatencyPressure) -> Option<usize> {
    let gains = ConfidenceGains::default();
    hemlockhitch_routing::cascade::next_size(input, pressure, &gains, at(0))
}

fn input(size: usize, confidence_percent: Option<u8>) -> EscalationInput {
    EscalationInput {
        size,
        size_count: 3,
        confidence_percent,
        cost_tokens: 9_000,
        remaining_to_slo_ms: 1_800,
    }
}

/// Returns the pressure after 60 first events of the largest size that took this long.
fn pressure_after(took_ms: u64) -> LatencyPressure {
    let mut pressure = LatencyPressure::default();
    for _ in 0..60 {
        pressure.record(FirstEventSample {
            size: 2,
            cost_tokens: 9_000,
            took_ms,
            slo_ms: 2_000,
        });
    }
    pressure
}

#[test]
fn larger_model_is_asked_at_low_confidence() {
    let low_pressure = pressure_after(100);
    assert_eq!(next_size(input(0, Some(30)), &low_pressure), Some(2));
    assert_eq!(next_size(input(0, Some(80)), &low_pressure), None);
    assert_eq!(
        next_size(input(2, Some(0)), &low_pressure),
        None,
        "no larger size exists"
    );
    assert_eq!(
        next_size(input(0, None), &low_pressure),
        None,
        "no confidence was reported"
    );
}

/// Guards against overload at peak load, where the largest model alone exceeds the
/// capacity of the endpoints.
#[test]
fn larger_models_are_asked_less_under_pressure() {
    let thresholds: Vec<f64> = [100, 500, 900, 1_300, 2_500]
        .map(|took_ms| escalation_threshold_percent(&pressure_after(took_ms)))
        .into();
    assert!(
        thresholds.windows(2).all(|pair| pair[0] >= pair[1]),
        "{thresholds:?}"
    );
    assert!(
        thresholds[0] >= 50.0 && thresholds[4] == 0.0,
        "{thresholds:?}"
    );
    assert_eq!(next_size(input(0, Some(30)), &pressure_after(2_500)), None);
}

/// Guards against escalating so late that the larger model's response misses the
/// objective.
#[test]
fn larger_model_that_would_be_late_is_not_asked() {
    let pressure = pressure_after(400);
    assert_eq!(next_size(input(0, Some(30)), &pressure), Some(2));
    let late = |confidence_percent| EscalationInput {
        remaining_to_slo_ms: 300,
        ..input(0, Some(confidence_percent))
    };
    for confidence_percent in [0, 5, 30] {
        assert_eq!(next_size(late(confidence_percent), &pressure), None);
    }
}

/// Plays escalations of a load whose middle size gains `middle_gain` percent, over a
/// range of confidences of the smallest, and returns the sizes that were chosen for
/// the second half of it.
fn chosen_sizes(middle_gain: u8) -> Vec<usize> {
    let low_pressure = pressure_after(100);
    let mut gains = ConfidenceGains::default();
    let mut chosen = Vec::new();
    for request in 0..200_u64 {
        let now = at(request * 100);
        let confidence = u8::try_from(request % 50).expect("below 50");
        let input = input(0, Some(confidence));
        let size =
            hemlockhitch_routing::cascade::next_size(input, &low_pressure, &gains, now).unwrap();
        let step = Step { from: 0, to: size };
        let gain = if size == 1 { middle_gain } else { 55 };
        gains.record(step, confidence, (confidence + gain).min(100), now);
        if request >= 100 {
            chosen.push(size);
        }
    }
    chosen
}

/// A middle size takes a fraction of the largest one's time. With the largest for all,
/// all 100 of these requests would go there.
#[test]
fn middle_size_is_asked_where_it_will_probably_suffice() {
    let count = |sizes: &[usize], size| sizes.iter().filter(|other| **other == size).count();
    let useful = chosen_sizes(20);
    assert!((20..=60).contains(&count(&useful, 1)), "{useful:?}");
    let excellent = chosen_sizes(48);
    assert!(count(&excellent, 1) >= 90, "{excellent:?}");
    let useless = chosen_sizes(0);
    assert!(count(&useless, 2) >= 85, "{useless:?}");
}

/// A size that gained nothing for a while is tried again later.
#[test]
fn observations_of_a_size_fade() {
    let step = Step { from: 0, to: 1 };
    let mut gains = ConfidenceGains::default();
    for request in 0..40 {
        gains.record(step, 40, 40, at(request));
    }
    let expected = |mono_ms| gains.expected_percent(step, 3, 40, at(mono_ms));
    assert!(expected(40) < 45.0);
    assert!(expected(600_000) > 50.0);
}
