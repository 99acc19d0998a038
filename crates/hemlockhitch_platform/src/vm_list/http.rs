//! The client of a VM list that speaks HTTP and JSON.

use std::time::Duration;

use hemlockhitch_client::HttpClient;

use super::{Vm, VmList, VmListError};
use crate::{CallKind, DEFAULT_LIMIT_MS, StoreCalls};

/// The path of the list.
pub const VMS_PATH: &str = "/vms";

/// A client of a VM list over HTTP; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: HttpClient,
    address: String,
    limit_ms: u64,
    calls: StoreCalls,
}

impl HttpVmList {
    /// Creates a client of the list at `address`, written `ip:port`.
    #[must_use]
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            client: HttpClient::new(),
            address: address.into(),
            limit_ms: DEFAULT_LIMIT_MS,
            calls: StoreCalls::default(),
        }
    }

    /// Sets how long a call may take, in milliseconds.
    #[must_use]
    pub fn limit_ms(mut self, limit_ms: u64) -> Self {
        self.limit_ms = limit_ms;
        self
    }

    /// Returns the counters of the calls made through this client.
    #[must_use]
    pub fn calls(&self) -> StoreCalls {
        self.calls.clone()
    }
}

impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Vm>, VmListError> {
        self.calls.count(CallKind::Read);
        let limit = Duration::from_millis(self.limit_ms);
        let answer = self.client.get_json(&self.address, VMS_PATH, limit).await;
        answer.map_err(|error| {
            tracing::warn!(event = "HH0103", %error, "VM list failed");
            let detail = error.to_string();
            VmListError { detail }
        })
    }
}
