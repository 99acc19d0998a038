//! Measures the cost of the peer protocol per node, in a fleet inside one process.
//!
//! `cargo bench -p hemlockhitch_peer --bench control -- 27` runs a fleet of 27
//! nodes; the default is 9. Run each size in its own process, since a later fleet reuses
//! the memory that an earlier one has freed.

use std::fs;
use std::time::{Duration, Instant};

use hemlockhitch_model::Clock;
use hemlockhitch_peer::slots::{Slot, SlotReport, SlotRequest, Slots};
use hemlockhitch_peer::{ControlBytes, PeerSettings, Peers};
use hemlockhitch_policy::concurrency_limit::{LimitSignal, LoadReportSignal};
use tokio::runtime::Builder;
use tokio::time::sleep;

#[path = "../tests/support/mod.rs"]
mod support;

use support::Platform;

/// Default number of nodes.
const DEFAULT_NODES: usize = 9;

/// Number of data centres over which the nodes are distributed.
const DATA_CENTRES: usize = 3;

/// Number of worker threads of the runtime.
const WORKER_THREADS: usize = 4;

/// Warm-up time of the fleet before the first measurement.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// Duration of each measured phase.
const PHASE_DURATION: Duration = Duration::from_secs(15);

/// Number of configuration changes whose propagation is timed.
const CHANGE_COUNT: usize = 20;

/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Slot requests per second of each node.
const REQUESTS_PER_S: u64 = 9;

/// Number of endpoints per node.
const ENDPOINTS_PER_NODE: usize = 11;

/// Clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

fn main() {
    let nodes = std::env::args()
        .find_map(|argument| argument.parse().ok())
        .unwrap_or(DEFAULT_NODES);
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .expect("a runtime can be built");
    runtime.block_on(measure(nodes));
}

async fn measure(nodes: usize) {
    let platform = Platform {
        settings: PeerSettings::default(),
        ..Platform::default()
    };
    let memory_before = resident_bytes();
    let mut fleet = Vec::new();
    for number in 0..nodes {
        let data_centre = format!("dc-{}", number % DATA_CENTRES);
        fleet.push(platform.start_in(&format!("n{number}"), &data_centre).await);
    }
    sleep(SETTLE_TIME).await;
    println!("nodes: {nodes}");
    let memory = resident_bytes() - memory_before;
    println!("memory_bytes_per_node: {}", memory / nodes as u64);
    phase("quiet", &platform, &fleet, async {}).await;
    for scope in [EndpointScope::Local, EndpointScope::Any] {
        let load = request_slots(&platform, &fleet, scope);
        phase(scope.name(), &platform, &fleet, load).await;
    }
    let memory = resident_bytes() - memory_before;
    println!(
        "memory_bytes_per_node after load: {}",
        memory / nodes as u64
    );
    time_changes(&platform, &fleet).await;
}

/// The endpoints at which a node requests slots.
#[derive(Clone, Copy, Debug)]
enum EndpointScope {
    /// Those of the node itself.
    Local,
    /// Those of the whole fleet.
    Any,
}

impl EndpointScope {
    fn name(self) -> &'static str {
        match self {
            Self::Local => "slots of near endpoints",
            Self::Any => "slots of any endpoint",
        }
    }

    fn endpoint(self, node: usize, nodes: usize) -> usize {
        match self {
            Self::Local => node * ENDPOINTS_PER_NODE + fastrand::usize(..ENDPOINTS_PER_NODE),
            Self::Any => fastrand::usize(..nodes * ENDPOINTS_PER_NODE),
        }
    }
}

/// Counters at one point in time, summed over the fleet.
struct Counts {
    at: Instant,
    cpu_s: f64,
    control: ControlBytes,
    store_calls: u64,
}

impl Counts {
    fn read(platform: &Platform, fleet: &[Peers]) -> Self {
        let mut control = ControlBytes::default();
        for peers in fleet {
            let one = peers.control_bytes();
            control.sent_messages += one.sent_messages;
            control.sent_bytes += one.sent_bytes;
            control.accepted_bytes += one.accepted_bytes;
            let largest = control.largest_digest_bytes.max(one.largest_digest_bytes);
            control.largest_digest_bytes = largest;
        }
        Self {
            at: Instant::now(),
            cpu_s: cpu_s(),
            control,
            store_calls: platform.store_calls(),
        }
    }
}

/// Runs `load` for one phase and prints the cost per node.
async fn phase(name: &str, platform: &Platform, fleet: &[Peers], load: impl Future<Output = ()>) {
    let before = Counts::read(platform, fleet);
    tokio::join!(load, sleep(PHASE_DURATION));
    let after = Counts::read(platform, fleet);
    let node_s = after.at.duration_since(before.at).as_secs_f64() * fleet.len() as f64;
    let per_node_s = |now: u64, then: u64| (now - then) as f64 / node_s;
    let core_percent = (after.cpu_s - before.cpu_s) / node_s * 100.0;
    // The bytes of a connection count for both of its ends.
    let wire = 2.0 * per_node_s(after.control.accepted_bytes, before.control.accepted_bytes);
    let payload = 2.0 * per_node_s(after.control.sent_bytes, before.control.sent_bytes);
    let sent = per_node_s(after.control.sent_messages, before.control.sent_messages);
    let store = per_node_s(after.store_calls, before.store_calls);
    println!("{name}: core_percent_per_node: {core_percent:.3}");
    println!("{name}: bytes_per_node_s, both ways, with framing: {wire:.0}");
    println!("{name}: bytes_per_node_s, both ways, messages only: {payload:.0}");
    println!("{name}: messages_sent_per_node_s: {sent:.2}");
    println!("{name}: store_calls_per_node_s: {store:.3}");
    println!("{name}: store_calls_s: {:.2}", store * fleet.len() as f64);
    println!(
        "{name}: largest_digest_bytes: {}",
        after.control.largest_digest_bytes
    );
}

/// Requests slots at warm endpoints from every node at a constant rate.
async fn request_slots(platform: &Platform, fleet: &[Peers], scope: EndpointScope) {
    let end = Instant::now() + PHASE_DURATION;
    let pause = Duration::from_secs(1) / u32::try_from(REQUESTS_PER_S).unwrap_or(1);
    let mut granted = 0_u64;
    let mut requested = 0_u64;
    while Instant::now() < end {
        let started = Instant::now();
        for (node, peers) in fleet.iter().enumerate() {
            let now = platform.clock.now();
            let endpoint = scope.endpoint(node, fleet.len());
            let request = SlotRequest {
                endpoint: format!("e-{endpoint}").into(),
                cold_limit: 1,
                warm_limit: 8,
            };
            warm_up(fleet, &request, now);
            if let Ok(slot) = peers.slots().acquire(request, now).await {
                granted += 1;
                requested += u64::from(slot.was_requested());
                slot.finish(SlotReport::Served { first_token_ms: 10 }, now);
            }
        }
        sleep(pause.saturating_sub(started.elapsed())).await;
    }
    println!(
        "{}: granted: {granted}, of these by a call: {requested}",
        scope.name()
    );
}

fn warm_up(fleet: &[Peers], request: &SlotRequest, now: hemlockhitch_model::Now) {
    let report = LoadReportSignal {
        cold: false,
        running: request.warm_limit,
        limit: request.warm_limit,
        age_ms: 0,
    };
    for peers in fleet {
        let signal = LimitSignal::Reported(report);
        if peers.slots().observe(&request.endpoint, signal, now) {
            return;
        }
    }
}

/// Measures the propagation time of changes to all nodes.
async fn time_changes(platform: &Platform, fleet: &[Peers]) {
    for (name, submitted) in [("store only", false), ("submitted", true)] {
        let mut times_ms = Vec::new();
        for _ in 0..CHANGE_COUNT {
            times_ms.extend(time_change(platform, fleet, submitted).await);
            sleep(CHANGE_INTERVAL).await;
        }
        times_ms.sort_unstable();
        println!(
            "change, {name}: p50_ms: {}, p99_ms: {}, max_ms: {}",
            percentile(&times_ms, 50),
            percentile(&times_ms, 99),
            percentile(&times_ms, 100),
        );
    }
}

async fn time_change(platform: &Platform, fleet: &[Peers], submitted: bool) -> Vec<u128> {
    let change = platform.source.accept();
    let generation = change.generation;
    let start = Instant::now();
    if submitted {
        fleet[fastrand::usize(..fleet.len())].submitted(change);
    }
    let mut arrivals = Vec::new();
    for peers in fleet {
        let mut feed = peers.feed().subscribe();
        arrivals.push(tokio::spawn(async move {
            // The feed closes only when its node stops.
            let _ = feed.wait_for(|c| c.generation >= generation).await;
            start.elapsed().as_millis()
        }));
    }
    let mut times_ms = Vec::new();
    for arrival in arrivals {
        times_ms.extend(arrival.await);
    }
    times_ms
}

fn percentile(sorted: &[u128], percent: usize) -> u128 {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(index).copied().unwrap_or_default()
}

/// Returns the CPU time that this process has used, in seconds.
fn cpu_s() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    ticks as f64 / TICKS_PER_S
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}
