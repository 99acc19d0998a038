//! Client interface of the list of virtual machines. The list may be out of date.

mod http;

pub use http::{HttpVmList, VMS_PATH};

use std::future::Future;

use hemlockhitch_model::{DataCentreName, NodeName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Vm {
    /// Name of the VM, which is also the name of the node that runs on it.
    pub name: NodeName,
    /// Address for calls from peers, `ip:port`.
    pub peer_address: String,
    /// Data centre that the VM runs in.
    pub data_centre: DataCentreName,
    /// Whether the platform is about to stop the VM.
    pub leaving: bool,
}

/// Error returned when the VM list could not be read.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("VM list: {detail}; the last list read stays in use")]
pub struct VmListError {
    /// Cause of the failure.
    pub detail: String,
}

/// A client of the VM list.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Returns every VM on the list.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, VmListError>> + Send;
}
