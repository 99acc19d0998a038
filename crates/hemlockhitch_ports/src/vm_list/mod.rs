//! The platform's lagging list of virtual machines.

mod http;

pub use http::{HttpVmList, VMS_PATH};

use std::future::Future;

use hemlockhitch_model::{DataCentreName, NodeName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One VM on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Vm {
    /// The name of the VM, which is the name of the node on it.
    pub name: NodeName,
    /// The address that peers call, `ip:port`.
    pub peer_address: String,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// Whether the platform is about to stop the VM.
    pub leaving: bool,
}

/// The list could not be read.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("VM list: {detail}; the last list read stays in use")]
pub struct VmListError {
    /// What went wrong.
    pub detail: String,
}

/// A client of the VM list.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the list.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, VmListError>> + Send;
}
