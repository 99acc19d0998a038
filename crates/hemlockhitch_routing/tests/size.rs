//! The choice of a model's size under played loads.

use hemlockhitch_routing::size::{Doubt, FirstEvent, Pressure, doubt_limit_percent, next_size};

fn doubt(size: usize, confidence_percent: Option<u8>) -> Doubt {
    Doubt {
        size,
        sizes: 3,
        confidence_percent,
        work: 9_000,
        left_ms: 1_800,
    }
}

/// Returns the pressure after first events of the largest size that took this long.
fn after(took_ms: u64) -> Pressure {
    let mut pressure = Pressure::default();
    for _ in 0..60 {
        pressure.note(FirstEvent {
            size: 2,
            work: 9_000,
            took_ms,
            objective_ms: 2_000,
        });
    }
    pressure
}

#[test]
fn larger_model_is_asked_in_doubt() {
    let calm = after(100);
    assert_eq!(next_size(doubt(0, Some(30)), &calm), Some(2));
    assert_eq!(next_size(doubt(0, Some(80)), &calm), None);
    assert_eq!(
        next_size(doubt(2, Some(0)), &calm),
        None,
        "there is none larger"
    );
    assert_eq!(
        next_size(doubt(0, None), &calm),
        None,
        "no opinion, no doubt"
    );
}

/// Answers: the heavy days, on which the largest model alone brings the fleet down.
#[test]
fn larger_models_are_asked_less_under_pressure() {
    let limits: Vec<f64> = [100, 500, 900, 1_300, 2_500]
        .map(|took_ms| doubt_limit_percent(&after(took_ms)))
        .into();
    assert!(
        limits.windows(2).all(|pair| pair[0] >= pair[1]),
        "{limits:?}"
    );
    assert!(limits[0] >= 50.0 && limits[4] == 0.0, "{limits:?}");
    assert_eq!(next_size(doubt(0, Some(30)), &after(2_500)), None);
}

/// Answers: doubt that comes too late for an answer in time.
#[test]
fn larger_model_that_would_be_late_is_asked_in_great_doubt_only() {
    let pressure = after(400);
    assert_eq!(next_size(doubt(0, Some(30)), &pressure), Some(2));
    let late = |confidence_percent| Doubt {
        left_ms: 300,
        ..doubt(0, Some(confidence_percent))
    };
    assert_eq!(next_size(late(30), &pressure), None);
    assert_eq!(next_size(late(5), &pressure), Some(2));
}
