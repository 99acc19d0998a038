//! Max-min fair division of a capacity.

/// Returns the largest share that any demand gets if a capacity is divided max-min fairly:
/// demands below it are met, the others get it. Infinite if the capacity meets all demands.
#[must_use]
pub fn max_min_level(capacity: f64, demands: impl IntoIterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = demands.into_iter().collect();
    sorted.sort_by(f64::total_cmp);
    let mut remaining = capacity;
    for (index, demand) in sorted.iter().enumerate() {
        #[allow(clippy::cast_precision_loss)]
        let unmet = (sorted.len() - index) as f64;
        if demand * unmet > remaining {
            return remaining.max(0.0) / unmet;
        }
        remaining -= demand;
    }
    f64::INFINITY
}
