//! Concurrency limit of the node, derived from the capacity of the endpoints.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_peer::{Member, Peers};
use hemlockhitch_router::{Router, RoutingView};
use tokio::time::sleep;

use super::backend::NodeBackend;

/// Pause between two updates.
const UPDATE_PAUSE: Duration = Duration::from_secs(1);

/// Multiple of its even share that a node may use, because the load is not balanced
/// evenly across nodes.
const HEADROOM_FACTOR: u32 = 2;

/// Periodically updates the router's concurrency limit from the capacity of the endpoints
/// and the number of live nodes.
pub(super) async fn update(peers: Arc<Peers>, router: Router<NodeBackend>) {
    loop {
        let live = peers.members().into_iter().filter(Member::is_live).count();
        let live_nodes = u32::try_from(live).unwrap_or(u32::MAX).max(1);
        let share = total_warm_limit(&router.view()).div_ceil(live_nodes);
        if share > 0 {
            router.set_concurrency(share.saturating_mul(HEADROOM_FACTOR), live_nodes);
        }
        sleep(UPDATE_PAUSE).await;
    }
}

/// Returns the sum of the warm limits of all endpoints, in concurrent requests.
fn total_warm_limit(view: &RoutingView) -> u32 {
    let endpoints = view.table.endpoints.iter();
    endpoints.map(|(_, entry)| entry.row.warm_limit).sum()
}
