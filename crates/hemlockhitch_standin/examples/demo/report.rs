//! The table and the closing line of the demo.

use std::collections::{BTreeMap, BTreeSet};

use hemlockhitch_ledger::bill::BillSums;
use hemlockhitch_standin::engine::EngineStandin;

use crate::deployment::Deployment;
use crate::load::Outcome;

/// Versions that the sheet allows to the organisations of the load on the model
/// that they ask for.
const ALLOWED: [&str; 2] = ["pull-small@1", "pull-small@2"];

/// What the demo found.
pub struct Report {
    outcomes: Vec<Outcome>,
    billed: u64,
    repeated_holds: u64,
    not_allowed: u64,
    runs_in_taken_out: u64,
}

impl Report {
    /// Counts what must hold.
    pub fn new(outcomes: Vec<Outcome>, sums: &BillSums, deployment: &Deployment) -> Self {
        Self {
            outcomes,
            billed: sums.totals.iter().map(|total| total.request_count).sum(),
            repeated_holds: repeated_holds(deployment),
            not_allowed: not_allowed(deployment),
            runs_in_taken_out: 0,
        }
    }

    /// Notes requests that started in the data centre after it was taken out.
    pub fn runs_in_taken_out(mut self, runs: u64) -> Self {
        self.runs_in_taken_out = runs;
        self
    }

    /// Returns whether everything that must hold does.
    pub fn holds(&self) -> bool {
        self.whole() == self.outcomes.len()
            && self.billed == self.to_bill()
            && self.repeated_holds == 0
            && self.not_allowed == 0
            && self.runs_in_taken_out == 0
    }

    /// Prints the table and the closing line.
    pub fn print(&self) {
        for outcome in &self.outcomes {
            if let Some(fault) = &outcome.fault {
                println!(
                    "failed: {} {}: {fault}",
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
            self.runs_in_taken_out
        );
        println!(
            "demo: requests={} whole={} billed_once={} repeated_holds={} not_allowed={}",
            self.outcomes.len(),
            self.whole(),
            self.billed,
            self.repeated_holds,
            self.not_allowed
        );
    }

    fn whole(&self) -> usize {
        self.outcomes.iter().filter(|outcome| outcome.whole).count()
    }

    fn to_bill(&self) -> u64 {
        let billed = self.outcomes.iter().filter(|outcome| outcome.billed);
        billed.count() as u64
    }

    /// Returns the latencies by organisation and what ran, in rising order.
    fn rows(&self) -> BTreeMap<(&'static str, &str), Vec<f64>> {
        let mut rows: BTreeMap<_, Vec<f64>> = BTreeMap::new();
        for outcome in self.outcomes.iter().filter(|outcome| outcome.whole) {
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
    let allowed: BTreeSet<&str> = ALLOWED.into_iter().collect();
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
    let last = sorted.len().saturating_sub(1);
    let index = (ratio * last as f64).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}
