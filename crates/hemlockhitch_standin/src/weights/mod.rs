//! Stand-in for the weight store.
//!
//! ```no_run
//! use hemlockhitch_standin::weights::{self, WeightsSettings};
//!
//! async fn one_transfer_per_second() -> std::io::Result<()> {
//!     let settings = WeightsSettings::default().interval_ms(1_000);
//!     let store = weights::start(([127, 0, 0, 1], 0).into(), settings).await?;
//!     println!("{}", store.address());
//!     Ok(())
//! }
//! ```

mod rate_limit;
mod settings;

pub use settings::WeightsSettings;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_ports::weights::{RESERVE_PATH, ReserveRefusal, ReserveRequest, Reserved};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::server::{HandlerResult, Server, delay, json_response, read_body};
use rate_limit::RateLimiter;

/// Path that accepts [`WeightsSettings`] by POST.
pub const SETTINGS_PATH: &str = "/settings";

/// Running weight store; dropping it closes every connection.
#[derive(Debug)]
pub struct WeightsStandin {
    server: Server,
    service: Service,
}

#[derive(Clone, Debug)]
struct Service {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    settings: WeightsSettings,
    rate_limiter: RateLimiter,
}

/// Starts the store on `address`; port 0 takes a free port.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn start(address: SocketAddr, settings: WeightsSettings) -> io::Result<WeightsStandin> {
    let state = State {
        settings,
        rate_limiter: RateLimiter::default(),
    };
    let service = Service {
        state: Arc::new(Mutex::new(state)),
    };
    let handler = service.clone();
    let server = Server::start(address, move |request| handler.clone().handle(request)).await?;
    Ok(WeightsStandin { server, service })
}

impl WeightsStandin {
    /// Returns the address that the store listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the settings. Transfers reserved before still count towards the rate
    /// limit.
    pub fn set(&self, settings: WeightsSettings) {
        self.service.state().settings = settings;
    }
}

impl Service {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_owned();
        let body = read_body(request).await?;
        match path.as_str() {
            RESERVE_PATH => self.reserve(&body).await,
            SETTINGS_PATH => self.change_settings(&body),
            _ => json_response(StatusCode::NOT_FOUND, &"use /reserve or /settings"),
        }
    }

    async fn reserve(&self, body: &Bytes) -> HandlerResult {
        let request: ReserveRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return json_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let settings = self.state().settings.clone();
        if settings.down {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        delay(settings.delay_ms).await;
        if settings.missing.contains(&request.version) {
            return json_response(StatusCode::NOT_FOUND, &ReserveRefusal::Missing);
        }
        let interval = Duration::from_millis(settings.interval_ms);
        let admitted = self
            .state()
            .rate_limiter
            .admit(interval, settings.burst, Instant::now());
        match admitted {
            Ok(()) => json_response(StatusCode::OK, &Reserved {}),
            Err(retry_after) => rate_limited_response(retry_after),
        }
    }

    fn change_settings(&self, body: &Bytes) -> HandlerResult {
        match serde_json::from_slice(body) {
            Ok(settings) => self.state().settings = settings,
            Err(error) => return json_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
        json_response(StatusCode::OK, &())
    }
}

fn rate_limited_response(retry_after: Duration) -> HandlerResult {
    let wait_ms = retry_after.as_nanos().div_ceil(1_000_000);
    let retry_after_ms = u64::try_from(wait_ms).unwrap_or(u64::MAX);
    let refusal = ReserveRefusal::RateLimited { retry_after_ms };
    json_response(StatusCode::TOO_MANY_REQUESTS, &refusal)
}
