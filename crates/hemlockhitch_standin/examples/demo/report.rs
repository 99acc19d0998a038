//! Result table and closing line of the demo.

use std::collections::{BTreeMap, BTreeSet};

use hemlockhitch_ledger::bill::BillReport;
use hemlockhitch_standin::engine::EngineStandin;

use crate::deployment::Deployment;
use crate::load::Outcome;

/// Versions of the requested model that the sheet allows for the organisations of the
/// load.
const ALLOWED_VERSIONS: [&str; 2] = ["pull-small@1", "pull-small@2"];

/// Results of the demo.
pub struct Report {
    outcomes: Vec<Outcome>,
    /// Requests billed.
    billed: u64,
    /// Executions of holds beyond the first of each idempotency key.
    repeated_holds: u64,
    /// Completions started on versions that are not allowed.
    not_allowed: u64,
    /// Requests started in the data centre after it was taken out.
    runs_in_taken_out_data_centre: u64,
}

impl Report {
    /// Evaluates the checked properties after the load has finished.
    pub fn new(outcomes: Vec<Outcome>, bill_report: &BillReport, deployment: &Deployment) -> Self {
        Self {
            outcomes,
            billed: bill_report
                .totals
                .iter()
                .map(|total| total.request_count)
                .sum(),
            repeated_holds: repeated_holds(deployment),
            not_allowed: not_allowed(deployment),
            runs_in_taken_out_data_centre: 0,
        }
    }

    /// Sets the number of requests that started in the data centre after it was taken
    /// out.
    pub fn runs_in_taken_out_data_centre(mut self, runs: u64) -> Self {
        self.runs_in_taken_out_data_centre = runs;
        self
    }

    /// Returns whether every checked property holds.
    pub fn passed(&self) -> bool {
        self.complete_count() == self.outcomes.len()
            && self.billed == self.billable_requests()
            && self.repeated_holds == 0
            && self.not_allowed == 0
            && self.runs_in_taken_out_data_centre == 0
    }

    /// Prints the table and the closing line.
    pub fn print(&self) {
        for outcome in &self.outcomes {
            if let Some(error) = &outcome.error {
                println!(
                    "failed: {} {}: {error}",
                    outcome.organisation, outcome.ran_on
                );
            }
        }
        println!();
        println!(
            "{:<14} {:<14} {:>8} {:>9} {:>9} {:>9}",
            "organisation", "ran on", "requests", "p50 ms", "p95 ms", "p99 ms"
        );
        for (row, latencies) in &self.rows() {
            println!(
                "{:<14} {:<14} {:>8} {:>9.1} {:>9.1} {:>9.1}",
                row.0,
                row.1,
                latencies.len(),
                quantile(latencies, 0.50),
                quantile(latencies, 0.95),
                quantile(latencies, 0.99),
            );
        }
        println!();
        println!(
            "work started in the data centre after it was out: {}",
            self.runs_in_taken_out_data_centre
        );
        println!(
            "demo: requests={} whole={} billed_once={} repeated_holds={} not_allowed={}",
            self.outcomes.len(),
            self.complete_count(),
            self.billed,
            self.repeated_holds,
            self.not_allowed
        );
    }

    fn complete_count(&self) -> usize {
        self.outcomes
            .iter()
            .filter(|outcome| outcome.complete)
            .count()
    }

    fn billable_requests(&self) -> u64 {
        let billed = self.outcomes.iter().filter(|outcome| outcome.billable);
        billed.count() as u64
    }

    /// Returns the latencies in ascending order, by organisation and by the version or
    /// service.
    fn rows(&self) -> BTreeMap<(&'static str, &str), Vec<f64>> {
        let mut rows: BTreeMap<_, Vec<f64>> = BTreeMap::new();
        for outcome in self.outcomes.iter().filter(|outcome| outcome.complete) {
            let row = (outcome.organisation, outcome.ran_on.as_str());
            rows.entry(row).or_default().push(outcome.latency_ms);
        }
        for latencies in rows.values_mut() {
            latencies.sort_by(f64::total_cmp);
        }
        rows
    }
}

fn repeated_holds(deployment: &Deployment) -> u64 {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in deployment.services() {
        for call in service.stats().calls {
            *runs.entry(call.body).or_default() += u64::from(call.runs);
        }
    }
    runs.values().map(|runs| runs.saturating_sub(1)).sum()
}

fn not_allowed(deployment: &Deployment) -> u64 {
    let allowed: BTreeSet<&str> = ALLOWED_VERSIONS.into_iter().collect();
    let stats = deployment.engines().iter().map(EngineStandin::stats);
    stats
        .flat_map(|stats| stats.started_by_version)
        .filter(|(version, _)| !allowed.contains(version.as_str()))
        .map(|(_, started)| u64::from(started))
        .sum()
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn quantile(sorted: &[f64], ratio: f64) -> f64 {
    let last_index = sorted.len().saturating_sub(1);
    let index = (ratio * last_index as f64).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}
