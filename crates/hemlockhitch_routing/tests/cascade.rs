//! Model cascades under simulated loads.

use hemlockhitch_routing::cascade::{
    EscalationInput, FirstEventSample, LatencyPressure, escalation_threshold_percent, next_size,
};

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
fn late_larger_model_is_asked_only_at_very_low_confidence() {
    let pressure = pressure_after(400);
    assert_eq!(next_size(input(0, Some(30)), &pressure), Some(2));
    let late = |confidence_percent| EscalationInput {
        remaining_to_slo_ms: 300,
        ..input(0, Some(confidence_percent))
    };
    assert_eq!(next_size(late(30), &pressure), None);
    assert_eq!(next_size(late(5), &pressure), Some(2));
}
