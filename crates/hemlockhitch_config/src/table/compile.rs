//! Compilation of a configuration into a routing table.

use std::collections::HashMap;

use hemlockhitch_model::{DataCentreKey, EndpointKey, ModelKey, ServiceKey, VersionKey};

use super::{
    AllowedVersion, CascadeEntry, EndpointEntry, ModelEntry, OrganisationEntry, RoutingTable,
    ServiceEntry, StopWindow, VersionEntry,
};
use crate::configuration::{
    Allowance, Cascade, Configuration, DataCentre, Endpoint, Organisation, PlannedStop, RollOut,
    RollOutState, Row, ServiceCall, StopTarget, Version,
};

impl RoutingTable {
    /// Compiles a configuration.
    ///
    /// Dangling references are skipped, as validation rejects rows that contain them.
    #[must_use]
    pub fn compile(configuration: &Configuration) -> Self {
        let mut table = Self {
            generation: configuration.generation,
            ..Self::default()
        };
        let rows: Vec<&Row> = configuration.existing_rows().map(|(_, row)| row).collect();
        for row in &rows {
            table.add_independent(row);
        }
        for row in &rows {
            table.add_if_endpoint(row);
        }
        for row in &rows {
            table.add_dependent(row);
        }
        for row in &rows {
            if let Row::RollOut(row) = row {
                table.apply_roll_out(row);
            }
        }
        table
    }

    fn add_independent(&mut self, row: &Row) {
        match row {
            Row::Organisation(row) => self.add_organisation(row),
            Row::Version(row) => self.add_version(row),
            Row::DataCentre(row) => self.add_data_centre(row),
            _ => {}
        }
    }

    fn add_if_endpoint(&mut self, row: &Row) {
        if let Row::Endpoint(row) = row {
            self.add_endpoint(row);
        }
    }

    fn add_dependent(&mut self, row: &Row) {
        match row {
            Row::Allowance(row) => self.add_allowance(row),
            Row::Cascade(row) => self.add_cascade(row),
            Row::ServiceCall(row) => self.add_service_call(row),
            Row::PlannedStop(row) => self.add_planned_stop(row),
            _ => {}
        }
    }

    fn add_organisation(&mut self, row: &Organisation) {
        let key = self.organisations.push(OrganisationEntry {
            row: row.clone(),
            allowed: HashMap::new(),
            cascades: HashMap::new(),
        });
        self.organisation_by_token
            .insert(row.token_sha256.clone(), key);
        self.organisation_by_name.insert(row.name.clone(), key);
    }

    fn add_version(&mut self, row: &Version) {
        let model = self.get_or_add_model(row);
        let key = self.versions.push(VersionEntry {
            row: row.clone(),
            model,
            endpoints: Vec::new(),
        });
        self.models[model].versions.push(key);
        self.version_by_name.insert(row.name.clone(), key);
    }

    fn get_or_add_model(&mut self, row: &Version) -> ModelKey {
        let name = row.name.model();
        if let Some(key) = self.model_by_name.get(&name) {
            return *key;
        }
        let key = self.models.push(ModelEntry {
            name: name.clone(),
            versions: Vec::new(),
        });
        self.model_by_name.insert(name, key);
        key
    }

    fn add_data_centre(&mut self, row: &DataCentre) {
        let key: DataCentreKey = self.data_centres.push(row.clone());
        self.data_centre_by_name.insert(row.name.clone(), key);
    }

    fn add_endpoint(&mut self, row: &Endpoint) {
        let Some(data_centre) = self.data_centre(row.data_centre.as_str()) else {
            return;
        };
        let service = self.get_or_add_service(row);
        let key: EndpointKey = self.endpoints.push(EndpointEntry {
            row: row.clone(),
            data_centre,
            service,
            stops: Vec::new(),
        });
        self.endpoint_by_name.insert(row.name.clone(), key);
        self.services[service].endpoints.push(key);
        for version in self.resolve_versions(row) {
            self.versions[version].endpoints.push(key);
        }
    }

    fn resolve_versions(&self, row: &Endpoint) -> Vec<VersionKey> {
        row.versions
            .iter()
            .filter_map(|name| self.version(name.as_str()))
            .collect()
    }

    fn get_or_add_service(&mut self, row: &Endpoint) -> ServiceKey {
        if let Some(key) = self.service_by_name.get(&row.service) {
            return *key;
        }
        let key = self.services.push(ServiceEntry {
            name: row.service.clone(),
            calls: Vec::new(),
            endpoints: Vec::new(),
        });
        self.service_by_name.insert(row.service.clone(), key);
        key
    }

    fn add_allowance(&mut self, row: &Allowance) {
        let (Some(organisation), Some(version)) = (
            self.organisation(row.organisation.as_str()),
            self.version(row.version.as_str()),
        ) else {
            return;
        };
        let model = self.versions[version].model;
        self.organisations[organisation]
            .allowed
            .entry(model)
            .or_default()
            .push(AllowedVersion {
                version,
                share_percent: row.share.percent,
            });
    }

    fn add_cascade(&mut self, row: &Cascade) {
        let Some(organisation) = self.organisation(row.organisation.as_str()) else {
            return;
        };
        let models = row
            .models
            .iter()
            .filter_map(|name| self.model(name.as_str()))
            .collect();
        let entry = CascadeEntry {
            row: row.clone(),
            models,
        };
        self.organisations[organisation]
            .cascades
            .insert(row.class, entry);
    }

    fn add_service_call(&mut self, row: &ServiceCall) {
        if let Some(service) = self.service(row.service.as_str()) {
            self.services[service].calls.push(row.clone());
        }
    }

    fn add_planned_stop(&mut self, row: &PlannedStop) {
        let window = StopWindow {
            from_unix_ms: row.from_unix_ms,
            until_unix_ms: row.until_unix_ms,
        };
        for endpoint in self.target_endpoints(&row.target) {
            self.endpoints[endpoint].stops.push(window);
        }
    }

    fn target_endpoints(&self, target: &StopTarget) -> Vec<EndpointKey> {
        match target {
            StopTarget::Endpoint(name) => self.endpoint(name.as_str()).into_iter().collect(),
            StopTarget::DataCentre(name) => self.endpoints_in(name.as_str()),
        }
    }

    fn endpoints_in(&self, data_centre: &str) -> Vec<EndpointKey> {
        let data_centre = self.data_centre(data_centre);
        self.endpoints
            .iter()
            .filter(|(_, entry)| Some(entry.data_centre) == data_centre)
            .map(|(key, _)| key)
            .collect()
    }

    /// Splits the combined share of the two versions according to the roll-out, so that
    /// the shares of each organisation still add up to 100 percent.
    fn apply_roll_out(&mut self, row: &RollOut) {
        let (Some(from), Some(to)) = (
            self.version(row.from.as_str()),
            self.version(row.to.as_str()),
        ) else {
            return;
        };
        let to_ratio = match row.state {
            RollOutState::Running => row.share.percent / 100.0,
            RollOutState::Held | RollOutState::Stopped => 0.0,
        };
        let model = self.versions[to].model;
        for organisation in self.organisation_keys() {
            if let Some(allowed) = self.organisations[organisation].allowed.get_mut(&model) {
                split_share(allowed, from, to, to_ratio);
            }
        }
    }

    fn organisation_keys(&self) -> Vec<hemlockhitch_model::OrganisationKey> {
        self.organisations.iter().map(|(key, _)| key).collect()
    }
}

/// Assigns `to_ratio` of the combined share of two versions to `to` and the rest to
/// `from`. Does nothing unless both versions are allowed.
fn split_share(allowed: &mut [AllowedVersion], from: VersionKey, to: VersionKey, to_ratio: f64) {
    let both_allowed = allowed.iter().any(|entry| entry.version == from)
        && allowed.iter().any(|entry| entry.version == to);
    if !both_allowed {
        return;
    }
    let combined_percent: f64 = allowed
        .iter()
        .filter(|entry| entry.version == from || entry.version == to)
        .map(|entry| entry.share_percent)
        .sum();
    for entry in allowed.iter_mut() {
        if entry.version == to {
            entry.share_percent = combined_percent * to_ratio;
        } else if entry.version == from {
            entry.share_percent = combined_percent * (1.0 - to_ratio);
        }
    }
}
