//! Load reports of the engines whose slots this node grants.

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

/// The pause between two rounds of reports.
const ROUND_PAUSE: Duration = Duration::from_secs(1);

/// An engine whose report is read.
#[derive(Clone, Debug)]
struct Target {
    endpoint: EndpointName,
    address: String,
}

/// Reads the reports of owned engines in rounds and tells the slots of them.
pub(super) async fn follow(
    peers: Arc<Peers>,
    router: Router<NodeBackend>,
    engine: HttpEngine,
    clock: impl Clock,
) {
    loop {
        let mut reading = JoinSet::new();
        for target in owned_engines(&peers, &router, clock.now()) {
            let (peers, engine, clock) = (Arc::clone(&peers), engine.clone(), clock.clone());
            reading.spawn(async move { read(&peers, &engine, &clock, &target).await });
        }
        reading.join_all().await;
        sleep(ROUND_PAUSE).await;
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
    // An engine without a report is judged by its answers alone.
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
