//! Client of the weight store over HTTP and JSON.

use hemlockhitch_client::HttpError;
use hemlockhitch_model::VersionName;

use super::message::{RESERVE_PATH, ReserveRefusal, ReserveRequest, Reserved};
use super::{WeightStore, WeightsError};
use crate::service_client::ServiceClient;
use crate::{CallKind, StoreCalls};

/// A client of the weight store over HTTP. Its clones share the connection pool and
/// the call counters.
#[derive(Clone, Debug)]
pub struct HttpWeights {
    client: ServiceClient,
}

impl HttpWeights {
    /// Creates a client of the weight store at `address`, written `ip:port`.
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

impl WeightStore for HttpWeights {
    async fn reserve(&self, version: &VersionName) -> Result<(), WeightsError> {
        let request = ReserveRequest {
            version: version.clone(),
        };
        let result = self
            .client
            .post(CallKind::Write, RESERVE_PATH, &request)
            .await;
        let Reserved {} = result.map_err(|error| convert_error(&error, version))?;
        Ok(())
    }
}

fn convert_error(error: &HttpError, version: &VersionName) -> WeightsError {
    match serde_json::from_slice::<ReserveRefusal>(error.body()) {
        Ok(ReserveRefusal::RateLimited { retry_after_ms }) => {
            WeightsError::RateLimited { retry_after_ms }
        }
        Ok(ReserveRefusal::Missing) => WeightsError::Missing {
            version: version.clone(),
        },
        Err(_) => {
            tracing::warn!(event = "HH0105", %error, "failed to reserve a weight transfer");
            let detail = error.to_string();
            WeightsError::Unavailable { detail }
        }
    }
}
