//! VM list of a node.

use std::net::SocketAddr;

use hemlockhitch_ports::vm_list::{HttpVmList, Vm, VmList, VmListError};

/// VM list of the platform; always empty if no address is configured, as for a node that
/// runs alone.
#[derive(Clone, Debug)]
pub(super) struct NodeVmList {
    client: Option<HttpVmList>,
}

impl NodeVmList {
    pub(super) fn new(address: Option<SocketAddr>) -> Self {
        Self {
            client: address.map(|address| HttpVmList::new(address.to_string())),
        }
    }
}

impl VmList for NodeVmList {
    async fn list(&self) -> Result<Vec<Vm>, VmListError> {
        match &self.client {
            Some(client) => client.list().await,
            None => Ok(Vec::new()),
        }
    }
}
