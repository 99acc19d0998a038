//! Notifies the nodes that hold slots of an endpoint when it turns cold.

use std::sync::Arc;

use hemlockhitch_model::{EndpointName, Now};
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::RecvError;

use crate::notice::{Notice, NoticeKind};
use crate::shared::Shared;
use crate::wire;

/// Time to live of the notice that an endpoint turned cold, in milliseconds. Nodes do
/// not reuse slots of the endpoint until the notice expires.
const COLD_NOTICE_TTL_MS: u64 = 10_000;

/// Sends a notice directly to the nodes that hold slots of the endpoint, and gossips
/// it to all others.
pub(crate) fn announce_cold(shared: &Arc<Shared>, endpoint: &EndpointName, now: Now) {
    tracing::info!(event = "HH0611", %endpoint, "endpoint turned cold");
    let notice = Notice {
        kind: NoticeKind::Cold,
        key: endpoint.to_string(),
        value: String::new(),
        expires_unix_ms: now.unix_ms + COLD_NOTICE_TTL_MS,
    };
    let request = wire::PostRequest {
        notices: vec![notice.to_wire()],
    };
    for address in granted_node_addresses(shared, endpoint) {
        let request = request.clone();
        let task_shared = shared.clone();
        shared.spawn(async move {
            // A node that is not reached gets the state in the reply to its next
            // renewal.
            let _ = task_shared.clients.post(&address, request).await;
        });
    }
    if let Err(error) = shared.notices.post(notice, now) {
        tracing::warn!(event = "HH0612", %endpoint, %error, "endpoint name is too long for a notice");
    }
}

fn granted_node_addresses(shared: &Shared, endpoint: &EndpointName) -> Vec<String> {
    let nodes = shared.grant_table().granted_nodes(endpoint);
    let members = shared.members();
    nodes
        .into_iter()
        .filter(|id| *id != shared.own_id)
        .filter_map(|id| members.get(id))
        .map(|member| member.identity.address.clone())
        .collect()
}

/// Drops this node's free slots of endpoints that turn cold.
pub(crate) async fn watch_cold_notices(shared: Arc<Shared>, mut notices: Receiver<Notice>) {
    loop {
        match notices.recv().await {
            Ok(notice) if notice.kind == NoticeKind::Cold => {
                shared.held_slots().mark_cold(&notice.key.into());
            }
            Ok(_) | Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}
