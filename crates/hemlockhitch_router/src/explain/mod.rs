//! Records of what was decided for recent requests.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use hemlockhitch_model::{Class, EndpointName, OrganisationName, RequestId, VersionName};
use serde::{Deserialize, Serialize};

/// One dispatch of a request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Step {
    /// When the dispatch ended, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Tokens that were relayed before this dispatch.
    pub resume_offset_tokens: u32,
    /// How the dispatch ended.
    pub ended: String,
}

/// What was decided for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Explanation {
    /// The request.
    pub request_id: RequestId,
    /// Who asked.
    pub organisation: OrganisationName,
    /// The class of the request.
    pub class: Class,
    /// The version, for a chat completion.
    pub version: Option<VersionName>,
    /// Why this version or service was taken.
    pub reason: String,
    /// The generation of the configuration that decided.
    pub generation: u64,
    /// The dispatches, first one first.
    pub steps: Vec<Step>,
    /// Cost in millionths of the currency unit.
    pub cost_micros: u64,
    /// How the request ended.
    pub ended: String,
}

/// The most explanations that a node keeps.
const CAPACITY: usize = 4_096;

/// Keeps the explanations of recent requests; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Explanations {
    recent: Arc<Mutex<Recent>>,
}

#[derive(Debug, Default)]
struct Recent {
    order: VecDeque<RequestId>,
    by_id: HashMap<RequestId, Explanation>,
}

impl Explanations {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an explanation and drops the oldest one beyond the capacity.
    pub fn record(&self, explanation: Explanation) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.order.push_back(explanation.request_id);
        recent.by_id.insert(explanation.request_id, explanation);
        if recent.order.len() > CAPACITY
            && let Some(oldest) = recent.order.pop_front()
        {
            recent.by_id.remove(&oldest);
        }
    }

    /// Finds the explanation of a request.
    #[must_use]
    pub fn find(&self, request_id: RequestId) -> Option<Explanation> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.by_id.get(&request_id).cloned()
    }
}
