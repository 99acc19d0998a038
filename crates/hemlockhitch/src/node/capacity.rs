//! The part of the endpoints' capacity that falls to the node.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_peer::{Member, Peers};
use hemlockhitch_router::{Router, RoutingView};
use tokio::time::sleep;

use super::backend::NodeBackend;

/// The pause between two looks at the members.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// How many times its even part a node may use, since callers spread unevenly.
const HEADROOM: u32 = 2;

/// Keeps the router's size in step with the endpoints and the live nodes.
pub(super) async fn follow(peers: Arc<Peers>, router: Router<NodeBackend>) {
    loop {
        let live = peers.members().into_iter().filter(Member::is_live).count();
        let live_nodes = u32::try_from(live).unwrap_or(u32::MAX).max(1);
        let part = endpoints_limit(&router.view()).div_ceil(live_nodes);
        if part > 0 {
            router.set_concurrency(part.saturating_mul(HEADROOM), live_nodes);
        }
        sleep(LOOK_PAUSE).await;
    }
}

/// Returns how many requests all endpoints bear when warm.
fn endpoints_limit(view: &RoutingView) -> u32 {
    let endpoints = view.table.endpoints.iter();
    endpoints.map(|(_, entry)| entry.row.warm_limit).sum()
}
