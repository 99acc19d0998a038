//! Measures what control costs a node, in a fleet inside one process.
//!
//! `cargo bench -p hemlockhitch_peer --bench control -- 27` runs a fleet of 27
//! nodes; the size is 9 when none is given. Run each size in a process of its
//! own, since memory given back by one fleet is used by the next.

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

/// Nodes of the fleet when no size is given.
const DEFAULT_NODES: usize = 9;

/// Data centres that the nodes are spread over.
const DATA_CENTRES: usize = 3;

/// Worker threads of the process.
const THREADS: usize = 4;

/// Time for the fleet to settle before anything is measured.
const SETTLE: Duration = Duration::from_secs(15);

/// Length of each measured phase.
const PHASE: Duration = Duration::from_secs(15);

/// Changes of the configuration whose way through the fleet is timed.
const CHANGES: usize = 20;

/// The pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(500);

/// Requests a second of each node while slots are measured.
const REQUESTS_PER_S: u64 = 9;

/// Endpoints for each node.
const ENDPOINTS_PER_NODE: usize = 11;

/// Ticks of processor time in a second, as `/proc` counts them.
const TICKS_PER_S: f64 = 100.0;

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

fn main() {
    let nodes = std::env::args()
        .find_map(|argument| argument.parse().ok())
        .unwrap_or(DEFAULT_NODES);
    let runtime = Builder::new_multi_thread()
        .worker_threads(THREADS)
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
    sleep(SETTLE).await;
    println!("nodes: {nodes}");
    let memory = resident_bytes() - memory_before;
    println!("memory_bytes_per_node: {}", memory / nodes as u64);
    phase("quiet", &platform, &fleet, async {}).await;
    for choice in [Choice::Near, Choice::Any] {
        let load = ask_for_slots(&platform, &fleet, choice);
        phase(choice.name(), &platform, &fleet, load).await;
    }
    let memory = resident_bytes() - memory_before;
    println!(
        "memory_bytes_per_node after load: {}",
        memory / nodes as u64
    );
    time_changes(&platform, &fleet).await;
}

/// Which endpoints a node asks for slots of.
#[derive(Clone, Copy, Debug)]
enum Choice {
    /// A few of its own.
    Near,
    /// Any of the fleet's.
    Any,
}

impl Choice {
    fn name(self) -> &'static str {
        match self {
            Self::Near => "slots of near endpoints",
            Self::Any => "slots of any endpoint",
        }
    }

    fn endpoint(self, node: usize, nodes: usize) -> usize {
        match self {
            Self::Near => node * ENDPOINTS_PER_NODE + fastrand::usize(..ENDPOINTS_PER_NODE),
            Self::Any => fastrand::usize(..nodes * ENDPOINTS_PER_NODE),
        }
    }
}

/// What was counted up to one moment, over the fleet.
struct Counts {
    at: Instant,
    processor_s: f64,
    control: ControlBytes,
    store_calls: u64,
}

impl Counts {
    fn take(platform: &Platform, fleet: &[Peers]) -> Self {
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
            processor_s: processor_s(),
            control,
            store_calls: platform.store_calls(),
        }
    }
}

/// Runs `load` beside the fleet for one phase and prints what a node spent.
async fn phase(name: &str, platform: &Platform, fleet: &[Peers], load: impl Future<Output = ()>) {
    let before = Counts::take(platform, fleet);
    tokio::join!(load, sleep(PHASE));
    let after = Counts::take(platform, fleet);
    let node_s = after.at.duration_since(before.at).as_secs_f64() * fleet.len() as f64;
    let per_node_s = |now: u64, then: u64| (now - then) as f64 / node_s;
    let core_percent = (after.processor_s - before.processor_s) / node_s * 100.0;
    // A connection's bytes burden both of its ends.
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

/// Asks for slots of warm endpoints from every node at a steady rate.
async fn ask_for_slots(platform: &Platform, fleet: &[Peers], choice: Choice) {
    let end = Instant::now() + PHASE;
    let pause = Duration::from_secs(1) / u32::try_from(REQUESTS_PER_S).unwrap_or(1);
    let mut granted = 0_u64;
    let mut asked = 0_u64;
    while Instant::now() < end {
        let started = Instant::now();
        for (node, peers) in fleet.iter().enumerate() {
            let now = platform.clock.now();
            let endpoint = choice.endpoint(node, fleet.len());
            let request = SlotRequest {
                endpoint: format!("e-{endpoint}").into(),
                cold_limit: 1,
                warm_limit: 8,
            };
            warm_up(fleet, &request, now);
            if let Ok(slot) = peers.slots().acquire(request, now).await {
                granted += 1;
                asked += u64::from(slot.was_requested());
                slot.finish(SlotReport::Served { first_token_ms: 10 }, now);
            }
        }
        sleep(pause.saturating_sub(started.elapsed())).await;
    }
    println!(
        "{}: granted: {granted}, of these by a call: {asked}",
        choice.name()
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

/// Times changes from the store to every node.
async fn time_changes(platform: &Platform, fleet: &[Peers]) {
    for (name, submitted) in [("store only", false), ("submitted", true)] {
        let mut times_ms = Vec::new();
        for _ in 0..CHANGES {
            times_ms.extend(time_change(platform, fleet, submitted).await);
            sleep(CHANGE_PAUSE).await;
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
            // The feed ends only with its node.
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

/// Processor time of this process so far, in seconds.
fn processor_s() -> f64 {
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

/// Memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}
