//! Index of the names that rows define.

use std::collections::{HashMap, HashSet};

use crate::configuration::Row;

/// Names defined by a set of rows, and the number of rows that use each address and
/// token.
#[derive(Debug, Default)]
pub(super) struct Index<'a> {
    pub(super) organisations: HashSet<&'a str>,
    pub(super) versions: HashSet<&'a str>,
    pub(super) models: HashSet<String>,
    pub(super) allowed_models: HashSet<(&'a str, String)>,
    pub(super) data_centres: HashSet<&'a str>,
    pub(super) endpoints: HashSet<&'a str>,
    pub(super) services: HashSet<&'a str>,
    pub(super) address_counts: HashMap<&'a str, u32>,
    pub(super) token_counts: HashMap<&'a str, u32>,
}

impl<'a> Index<'a> {
    pub(super) fn from_rows(rows: &[&'a Row]) -> Self {
        let mut index = Self::default();
        for row in rows {
            index.add(row);
        }
        index
    }

    fn add(&mut self, row: &'a Row) {
        match row {
            Row::Organisation(row) => {
                self.organisations.insert(row.name.as_str());
                *self.token_counts.entry(&row.token_sha256).or_default() += 1;
            }
            Row::Version(row) => {
                self.versions.insert(row.name.as_str());
                self.models.insert(row.name.model().to_string());
            }
            Row::Allowance(row) => {
                let model = row.version.model().to_string();
                self.allowed_models
                    .insert((row.organisation.as_str(), model));
            }
            Row::DataCentre(row) => {
                self.data_centres.insert(row.name.as_str());
            }
            Row::Endpoint(row) => {
                self.endpoints.insert(row.name.as_str());
                self.services.insert(row.service.as_str());
                *self.address_counts.entry(&row.address).or_default() += 1;
            }
            Row::Cascade(_) | Row::ServiceCall(_) | Row::PlannedStop(_) | Row::RollOut(_) => {}
        }
    }
}
