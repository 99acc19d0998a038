//! Records of the routing decisions for recent requests.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use hemlockhitch_model::{Class, EndpointName, OrganisationName, RequestId, VersionName};
use serde::{Deserialize, Serialize};

/// One dispatch of a request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DispatchRecord {
    /// When the dispatch ended, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The endpoint that received the dispatch.
    pub endpoint: EndpointName,
    /// Number of tokens relayed to the caller, over all dispatches, when this one
    /// ended.
    pub resume_offset_tokens: u32,
    /// Outcome of the dispatch, such as `whole` or `failed`.
    pub ended: String,
}

/// The routing decisions for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Explanation {
    /// Id of the request.
    pub request_id: RequestId,
    /// Organisation of the caller.
    pub organisation: OrganisationName,
    /// Class of the request.
    pub class: Class,
    /// Version that was chosen, for a chat completion.
    pub version: Option<VersionName>,
    /// Why this version or service was chosen.
    pub reason: String,
    /// Generation of the configuration that the decision was made with.
    pub generation: u64,
    /// Dispatches in the order in which they ended.
    pub steps: Vec<DispatchRecord>,
    /// Cost in millionths of the currency unit.
    pub cost_micros: u64,
    /// Outcome of the request: `whole`, `cancelled` or the code of a refusal.
    pub ended: String,
}

/// Maximum number of explanations that a node keeps.
const MAX_EXPLANATIONS: usize = 4_096;

/// In-memory store of the explanations of recent requests; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Explanations {
    recent: Arc<Mutex<Recent>>,
}

#[derive(Debug, Default)]
struct Recent {
    insertion_order: VecDeque<RequestId>,
    by_id: HashMap<RequestId, Explanation>,
}

impl Explanations {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an explanation; removes the oldest one when the store is full.
    pub fn record(&self, explanation: Explanation) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.insertion_order.push_back(explanation.request_id);
        recent.by_id.insert(explanation.request_id, explanation);
        if recent.insertion_order.len() > MAX_EXPLANATIONS
            && let Some(oldest) = recent.insertion_order.pop_front()
        {
            recent.by_id.remove(&oldest);
        }
    }

    /// Returns the explanation of a request, if it is still stored.
    #[must_use]
    pub fn find(&self, request_id: RequestId) -> Option<Explanation> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.by_id.get(&request_id).cloned()
    }
}
