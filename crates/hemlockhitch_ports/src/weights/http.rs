//! The client of a weight store that speaks HTTP and JSON.

use hemlockhitch_client::HttpError;
use hemlockhitch_model::VersionName;

use super::message::{RESERVE_PATH, ReserveRefusal, ReserveRequest, Reserved};
use super::{WeightStore, WeightsError};
use crate::service_client::HttpService;
use crate::{CallKind, StoreCalls};

/// A client of a weight store over HTTP; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct HttpWeights {
    service: HttpService,
}

impl HttpWeights {
    /// Creates a client of the store at `address`, written `ip:port`.
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

impl WeightStore for HttpWeights {
    async fn reserve(&self, version: &VersionName) -> Result<(), WeightsError> {
        let request = ReserveRequest {
            version: version.clone(),
        };
        let answer = self
            .service
            .post(CallKind::Write, RESERVE_PATH, &request)
            .await;
        let Reserved {} = answer.map_err(|error| translate(&error, version))?;
        Ok(())
    }
}

fn translate(error: &HttpError, version: &VersionName) -> WeightsError {
    match serde_json::from_slice::<ReserveRefusal>(error.body()) {
        Ok(ReserveRefusal::RateLimited { retry_after_ms }) => {
            WeightsError::RateLimited { retry_after_ms }
        }
        Ok(ReserveRefusal::Missing) => WeightsError::Missing {
            version: version.clone(),
        },
        Err(_) => {
            tracing::warn!(event = "HH0105", %error, "weight store failed");
            let detail = error.to_string();
            WeightsError::Unavailable { detail }
        }
    }
}
