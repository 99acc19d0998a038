//! Sums of bills.

use std::collections::BTreeMap;

use hemlockhitch_model::{Class, OrganisationName};
use serde::{Deserialize, Serialize};

use crate::bill::Bill;

/// What an organisation was billed for one class on one version or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BillTotal {
    /// Who pays.
    pub organisation: OrganisationName,
    /// The class of the requests.
    pub class: Class,
    /// What ran: a version, or a service's name.
    pub ran_on: String,
    /// Number of requests.
    pub request_count: u64,
    /// Tokens of the prompts.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Cost in millionths of the currency unit.
    pub cost_micros: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TotalKey {
    organisation: OrganisationName,
    class: Class,
    ran_on: String,
}

/// The sums of all bills of a shard.
#[derive(Clone, Debug, Default)]
pub struct BillTotals {
    totals: BTreeMap<TotalKey, BillTotal>,
}

impl BillTotals {
    /// Adds one bill.
    pub fn add(&mut self, bill: &Bill) {
        let key = TotalKey {
            organisation: bill.organisation.clone(),
            class: bill.class,
            ran_on: bill.ran_on.clone(),
        };
        let total = self.totals.entry(key).or_insert_with(|| BillTotal {
            organisation: bill.organisation.clone(),
            class: bill.class,
            ran_on: bill.ran_on.clone(),
            request_count: 0,
            prompt_tokens: 0,
            completion_tokens: 0,
            cost_micros: 0,
        });
        total.request_count += 1;
        total.prompt_tokens += u64::from(bill.prompt_tokens);
        total.completion_tokens += u64::from(bill.completion_tokens);
        total.cost_micros += bill.cost_micros;
    }
}
