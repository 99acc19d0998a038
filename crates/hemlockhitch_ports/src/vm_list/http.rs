//! Client of the VM list over HTTP and JSON.

use super::{Vm, VmList, VmListError};
use crate::StoreCalls;
use crate::service_client::ServiceClient;

/// The path of the VM list.
pub const VMS_PATH: &str = "/vms";

/// A client of the VM list over HTTP. Its clones share the connection pool and the
/// call counters.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: ServiceClient,
}

impl HttpVmList {
    /// Creates a client of the VM list at `address`, written `ip:port`.
    #[must_use]
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            client: ServiceClient::new(address),
        }
    }

    /// Sets the timeout of a call, in milliseconds.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.client.set_timeout_ms(timeout_ms);
        self
    }

    /// Returns the counters of the calls made through this client and its clones.
    #[must_use]
    pub fn calls(&self) -> StoreCalls {
        self.client.calls()
    }
}

impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Vm>, VmListError> {
        let result = self.client.get(VMS_PATH).await;
        result.map_err(|error| {
            tracing::warn!(event = "HH0103", %error, "failed to read the VM list");
            let detail = error.to_string();
            VmListError { detail }
        })
    }
}
