//! The client of a VM list that speaks HTTP and JSON.

use super::{Vm, VmList, VmListError};
use crate::StoreCalls;
use crate::service_client::HttpService;

/// The path of the list.
pub const VMS_PATH: &str = "/vms";

/// A client of a VM list over HTTP; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    service: HttpService,
}

impl HttpVmList {
    /// Creates a client of the list at `address`, written `ip:port`.
    #[must_use]
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            service: HttpService::new(address),
        }
    }

    /// Sets how long a call may take, in milliseconds.
    #[must_use]
    pub fn limit_ms(mut self, limit_ms: u64) -> Self {
        self.service.set_limit_ms(limit_ms);
        self
    }

    /// Returns the counters of the calls made through this client.
    #[must_use]
    pub fn calls(&self) -> StoreCalls {
        self.service.calls()
    }
}

impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Vm>, VmListError> {
        let answer = self.service.get(VMS_PATH).await;
        answer.map_err(|error| {
            tracing::warn!(event = "HH0103", %error, "VM list failed");
            let detail = error.to_string();
            VmListError { detail }
        })
    }
}
