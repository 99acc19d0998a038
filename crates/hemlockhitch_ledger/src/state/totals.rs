//! Totals of bills by organisation, class and target.

use std::collections::BTreeMap;

use hemlockhitch_model::{Class, OrganisationName};
use serde::{Deserialize, Serialize};

use crate::bill::Bill;

/// Billed total of one organisation for one class on one version or service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BillTotal {
    /// The billed organisation.
    pub organisation: OrganisationName,
    /// The class of the requests.
    pub class: Class,
    /// The model version or the name of the service that ran the requests.
    pub ran_on: String,
    /// Number of billed requests.
    pub request_count: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
    /// Cost in millionths of the currency unit.
    pub cost_micros: u64,
}

impl BillTotal {
    fn from_bill(bill: &Bill) -> Self {
        Self {
            organisation: bill.organisation.clone(),
            class: bill.class,
            ran_on: bill.ran_on.clone(),
            request_count: 1,
            prompt_tokens: u64::from(bill.prompt_tokens),
            completion_tokens: u64::from(bill.completion_tokens),
            cost_micros: bill.cost_micros,
        }
    }

    fn group_key(&self) -> GroupKey {
        GroupKey {
            organisation: self.organisation.clone(),
            class: self.class,
            ran_on: self.ran_on.clone(),
        }
    }

    fn add(&mut self, other: &Self) {
        self.request_count += other.request_count;
        self.prompt_tokens += other.prompt_tokens;
        self.completion_tokens += other.completion_tokens;
        self.cost_micros = self.cost_micros.saturating_add(other.cost_micros);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey {
    organisation: OrganisationName,
    class: Class,
    ran_on: String,
}

/// Bill totals of a shard, ordered by organisation, class and target.
#[derive(Clone, Debug, Default)]
pub struct BillTotals {
    totals: BTreeMap<GroupKey, BillTotal>,
}

impl BillTotals {
    /// Adds one bill.
    pub fn add(&mut self, bill: &Bill) {
        self.add_total(&BillTotal::from_bill(bill));
    }

    /// Adds the totals of another shard.
    pub fn merge(&mut self, other: &Self) {
        for total in other.iter() {
            self.add_total(total);
        }
    }

    /// Iterates over the totals ordered by organisation.
    pub fn iter(&self) -> impl Iterator<Item = &BillTotal> {
        self.totals.values()
    }

    fn add_total(&mut self, total: &BillTotal) {
        match self.totals.get_mut(&total.group_key()) {
            Some(sum) => sum.add(total),
            None => {
                self.totals.insert(total.group_key(), total.clone());
            }
        }
    }
}

impl From<Vec<BillTotal>> for BillTotals {
    fn from(totals: Vec<BillTotal>) -> Self {
        let mut merged = Self::default();
        for total in &totals {
            merged.add_total(total);
        }
        merged
    }
}
