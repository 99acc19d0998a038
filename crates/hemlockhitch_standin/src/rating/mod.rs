//! Stand-in for the rating service.
//!
//! ```no_run
//! use hemlockhitch_standin::rating::{self, RatingSettings};
//!
//! async fn rate_half_of_the_answers() -> std::io::Result<()> {
//!     let settings = RatingSettings::default().missing_ratio(0.5);
//!     let service = rating::start(([127, 0, 0, 1], 0).into(), settings).await?;
//!     println!("{}", service.address());
//!     Ok(())
//! }
//! ```

mod settings;

pub use settings::{ParseQualityError, RatingSettings, VersionQuality};

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use hemlockhitch_ports::rating::{RATE_PATH, RatingRequest};
use http::{Request, StatusCode};
use hyper::body::Incoming;

use crate::server::{HandlerResult, Server, delay, json_response, read_body};

/// Path that accepts [`RatingSettings`] by POST.
pub const SETTINGS_PATH: &str = "/settings";

/// Running rating service; dropping it closes every connection.
#[derive(Debug)]
pub struct RatingStandin {
    server: Server,
    service: Service,
}

#[derive(Clone, Debug)]
struct Service {
    settings: Arc<Mutex<RatingSettings>>,
}

/// Starts the service on `address`; port 0 takes a free port.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn start(address: SocketAddr, settings: RatingSettings) -> io::Result<RatingStandin> {
    let service = Service {
        settings: Arc::new(Mutex::new(settings)),
    };
    let handler = service.clone();
    let server = Server::start(address, move |request| handler.clone().handle(request)).await?;
    Ok(RatingStandin { server, service })
}

impl RatingStandin {
    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the settings.
    pub fn set(&self, settings: RatingSettings) {
        self.service.set(settings);
    }
}

impl Service {
    fn set(&self, settings: RatingSettings) {
        let mut current = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        *current = settings;
    }

    fn settings(&self) -> RatingSettings {
        let current = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    async fn handle(self, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_owned();
        let body = read_body(request).await?;
        match path.as_str() {
            RATE_PATH => self.rate(&body).await,
            SETTINGS_PATH => self.change_settings(&body),
            _ => json_response(StatusCode::NOT_FOUND, &"use /rate or /settings"),
        }
    }

    async fn rate(&self, body: &Bytes) -> HandlerResult {
        let request: RatingRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return json_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let settings = self.settings();
        if settings.down {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        delay(settings.delay_ms).await;
        match settings.rate(&request) {
            Some(rating) => json_response(StatusCode::OK, &rating),
            None => json_response(StatusCode::NOT_FOUND, &"this answer is not rated"),
        }
    }

    fn change_settings(&self, body: &Bytes) -> HandlerResult {
        match serde_json::from_slice(body) {
            Ok(settings) => self.set(settings),
            Err(error) => return json_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
        json_response(StatusCode::OK, &())
    }
}
