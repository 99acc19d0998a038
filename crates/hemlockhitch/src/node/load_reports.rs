//! Polling of load reports from the engines whose slots this node grants.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_endpoint::HttpEngine;
use hemlockhitch_endpoint::engine::{Engine, LoadReport};
use hemlockhitch_model::{Clock, EndpointName, Now};
use hemlockhitch_peer::{Owner, Peers};
use hemlockhitch_policy::concurrency_limit::{LimitSignal, LoadReportSignal};
use hemlockhitch_router::Router;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::backend::NodeBackend;

/// Pause between two polling rounds.
const POLL_PAUSE: Duration = Duration::from_secs(1);

/// Engine to poll.
#[derive(Clone, Debug)]
struct Target {
    endpoint: EndpointName,
    address: String,
}

/// Periodically polls the load reports of owned engines and feeds them to the slots.
pub(super) async fn poll(
    peers: Arc<Peers>,
    router: Router<NodeBackend>,
    engine: HttpEngine,
    clock: impl Clock,
) {
    loop {
        let mut reads = JoinSet::new();
        for target in owned_engines(&peers, &router, clock.now()) {
            let (peers, engine, clock) = (Arc::clone(&peers), engine.clone(), clock.clone());
            reads.spawn(async move { read(&peers, &engine, &clock, &target).await });
        }
        reads.join_all().await;
        sleep(POLL_PAUSE).await;
    }
}

fn owned_engines(peers: &Peers, router: &Router<NodeBackend>, now: Now) -> Vec<Target> {
    let ownership = peers.ownership();
    let view = router.view();
    let owned = view.table.endpoints.iter().filter(|(_, entry)| {
        let bucket = ownership.endpoint_bucket(&entry.row.name);
        let is_engine = !entry.row.versions.is_empty();
        is_engine && matches!(ownership.owner(bucket, now), Owner::Local { .. })
    });
    owned
        .map(|(_, entry)| Target {
            endpoint: entry.row.name.clone(),
            address: entry.row.address.clone(),
        })
        .collect()
}

async fn read(peers: &Peers, engine: &HttpEngine, clock: &impl Clock, target: &Target) {
    // Without a load report, the limit of the engine depends on its answers only.
    if let Ok(report) = engine.load(&target.address).await {
        let now = clock.now();
        let signal = LimitSignal::Reported(load_signal(&report, now));
        peers.slots().observe(&target.endpoint, signal, now);
    }
}

fn load_signal(report: &LoadReport, now: Now) -> LoadReportSignal {
    LoadReportSignal {
        cold: report.cold,
        running: report.running,
        limit: report.limit,
        age_ms: now.unix_ms.saturating_sub(report.at_unix_ms),
    }
}
