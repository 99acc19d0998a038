//! A fake plain service with scripted endpoints.

use std::collections::{HashMap, VecDeque};

use hemlockhitch_endpoint::service::{Service, ServiceAnswer, ServiceError, ServiceRequest};

use crate::support::{Shared, lock};

/// Behaviour of an endpoint on one call.
#[derive(Clone, Copy, Debug)]
pub enum ServiceScript {
    /// Is unreachable.
    Unreachable,
    /// Runs the call, then drops the connection without an answer.
    DisconnectAfterRun,
}

/// Endpoints by address; an endpoint without a script runs the call.
#[derive(Clone, Default)]
pub struct FakeService {
    scripts: Shared<HashMap<String, VecDeque<ServiceScript>>>,
    runs: Shared<Vec<String>>,
}

impl FakeService {
    /// Adds a script for the next call at an address.
    pub fn script(&self, address: &str, script: ServiceScript) {
        lock(&self.scripts)
            .entry(address.to_owned())
            .or_default()
            .push_back(script);
    }

    /// Returns the addresses at which calls ran, in order.
    pub fn runs(&self) -> Vec<String> {
        lock(&self.runs).clone()
    }
}

impl Service for FakeService {
    async fn call(
        &self,
        address: &str,
        _request: ServiceRequest,
    ) -> Result<ServiceAnswer, ServiceError> {
        let script = lock(&self.scripts)
            .get_mut(address)
            .and_then(VecDeque::pop_front);
        let address = address.to_owned();
        let detail = "scripted".to_owned();
        if let Some(ServiceScript::Unreachable) = script {
            return Err(ServiceError::Unreachable { address, detail });
        }
        lock(&self.runs).push(address.clone());
        if let Some(ServiceScript::DisconnectAfterRun) = script {
            return Err(ServiceError::Broken { address, detail });
        }
        Ok(ServiceAnswer {
            status: 201,
            content_type: None,
            body: format!("run {}", lock(&self.runs).len()),
        })
    }
}
