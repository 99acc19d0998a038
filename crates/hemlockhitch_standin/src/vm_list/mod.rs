//! Stand-in for the VM list.
//!
//! ```no_run
//! use hemlockhitch_standin::vm_list::{self, VmListSettings};
//!
//! async fn lag_by_one_second() -> std::io::Result<()> {
//!     let list = vm_list::start(([127, 0, 0, 1], 0).into()).await?;
//!     list.set_vms(Vec::new());
//!     list.set(VmListSettings { lag_ms: 1_000, ..VmListSettings::default() });
//!     Ok(())
//! }
//! ```

mod snapshots;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_ports::vm_list::{VMS_PATH, Vm};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::server::{HandlerResult, Server, delay, json_response, read_body};
use snapshots::Snapshots;

/// Path that accepts [`VmListSettings`] by POST.
pub const SETTINGS_PATH: &str = "/settings";

/// Settings of the VM list; by default it has no lag, no delay and no faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct VmListSettings {
    /// Time until a change of the list becomes visible, in milliseconds.
    pub lag_ms: u64,
    /// Delay before each response, in milliseconds.
    pub delay_ms: u64,
    /// Whether every read of the list is dropped and its connection aborted.
    pub down: bool,
}

/// Running VM list; dropping it closes every connection.
#[derive(Debug)]
pub struct VmListStandin {
    server: Server,
    service: Service,
}

#[derive(Clone, Debug, Default)]
struct Service {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    settings: VmListSettings,
    snapshots: Snapshots,
}

/// Starts an empty list on `address`; port 0 takes a free port.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn start(address: SocketAddr) -> io::Result<VmListStandin> {
    let service = Service::default();
    let handler = service.clone();
    let server = Server::start(address, move |request| handler.clone().handle(request)).await?;
    Ok(VmListStandin { server, service })
}

impl VmListStandin {
    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the settings.
    pub fn set(&self, settings: VmListSettings) {
        self.service.state().settings = settings;
    }

    /// Replaces the list; the new list becomes visible after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.service.state().snapshots.push(vms, Instant::now());
    }

    /// Returns the latest list, regardless of the lag.
    #[must_use]
    pub fn vms(&self) -> Vec<Vm> {
        self.service.state().snapshots.latest()
    }
}

impl Service {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, VMS_PATH) => self.list().await,
            (_, VMS_PATH) => self.replace_list(&read_body(request).await?),
            (_, SETTINGS_PATH) => self.change_settings(&read_body(request).await?),
            _ => json_response(StatusCode::NOT_FOUND, &"use /vms or /settings"),
        }
    }

    async fn list(&self) -> HandlerResult {
        let settings = self.state().settings;
        if settings.down {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        delay(settings.delay_ms).await;
        let lag = Duration::from_millis(settings.lag_ms);
        let vms = self.state().snapshots.as_of(Instant::now(), lag);
        json_response(StatusCode::OK, &vms)
    }

    fn replace_list(&self, body: &Bytes) -> HandlerResult {
        match serde_json::from_slice(body) {
            Ok(vms) => self.state().snapshots.push(vms, Instant::now()),
            Err(error) => return json_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
        json_response(StatusCode::OK, &())
    }

    fn change_settings(&self, body: &Bytes) -> HandlerResult {
        match serde_json::from_slice(body) {
            Ok(settings) => self.state().settings = settings,
            Err(error) => return json_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
        json_response(StatusCode::OK, &())
    }
}
