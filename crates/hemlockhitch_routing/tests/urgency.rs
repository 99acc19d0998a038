//! The order of service at an endpoint under a simulated load.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use fastrand::Rng;
use hemlockhitch_routing::WorkRanks;

/// Prompt tokens of the smallest model that an endpoint prefills in a millisecond.
const TOKENS_PER_MS: u64 = 170;

/// What callers of short and of long prompts get: the mean wait in milliseconds, and
/// the longest.
#[derive(Clone, Copy, Debug, Default)]
struct Waits {
    sum_ms: u64,
    count: u64,
    longest_ms: u64,
}

impl Waits {
    fn add(&mut self, wait_ms: u64) {
        self.sum_ms += wait_ms;
        self.count += 1;
        self.longest_ms = self.longest_ms.max(wait_ms);
    }

    fn mean_ms(self) -> u64 {
        self.sum_ms / self.count.max(1)
    }
}

/// Plays one endpoint for ten minutes at 75 percent of what it can do: nine of ten
/// prompts take 20 ms, the tenth takes 1 s. The endpoint serves by priority, then by
/// arrival.
fn play(urgency: impl Fn(&mut WorkRanks, u64) -> u8) -> (Waits, Waits) {
    let mut rng = Rng::with_seed(7);
    let mut ranks = WorkRanks::default();
    let mut arrival_ms = 0;
    let mut arrivals = VecDeque::new();
    while arrival_ms < 600_000 {
        let is_long = rng.u32(0..10) == 0;
        let work_tokens = if is_long { 1_000 } else { 20 } * TOKENS_PER_MS;
        arrivals.push_back((arrival_ms, work_tokens));
        arrival_ms += rng.u64(0..=314);
    }
    let mut queue = BinaryHeap::new();
    let (mut short, mut long) = (Waits::default(), Waits::default());
    let mut free_ms = 0;
    while !arrivals.is_empty() || !queue.is_empty() {
        if queue.is_empty()
            && let Some((arrived_ms, _)) = arrivals.front()
        {
            free_ms = free_ms.max(*arrived_ms);
        }
        while let Some((arrived_ms, work_tokens)) =
            arrivals.pop_front_if(|(arrived_ms, _)| *arrived_ms <= free_ms)
        {
            let level = urgency(&mut ranks, work_tokens);
            queue.push(Reverse((level, arrived_ms, work_tokens)));
        }
        let Some(Reverse((_, arrived_ms, work_tokens))) = queue.pop() else {
            continue;
        };
        let waits = if work_tokens > 100 * TOKENS_PER_MS {
            &mut long
        } else {
            &mut short
        };
        waits.add(free_ms - arrived_ms);
        free_ms += work_tokens / TOKENS_PER_MS;
    }
    (short, long)
}

/// Short prompts wait less, and long ones hardly longer: they are not starved.
#[test]
fn short_work_goes_first_without_starving_long_work() {
    let (short_by_arrival, long_by_arrival) = play(|_, _| 5);
    let (short, long) = play(|ranks, work_tokens| {
        ranks.record(work_tokens);
        ranks.urgency(work_tokens)
    });
    assert!(
        short.mean_ms() * 10 <= short_by_arrival.mean_ms() * 9,
        "{short:?} beside {short_by_arrival:?}"
    );
    assert!(
        long.longest_ms <= long_by_arrival.longest_ms + 2_000,
        "{long:?} beside {long_by_arrival:?}"
    );
}

/// The levels follow the load: what is long for one service is short for another.
#[test]
fn levels_divide_the_recent_requests() {
    let mut rng = Rng::with_seed(1);
    for scale in [1, 64, 4_096] {
        let mut ranks = WorkRanks::default();
        let mut counts = [0_u32; 10];
        for request in 0..2_000 {
            let work_tokens = scale << rng.u32(0..10);
            ranks.record(work_tokens);
            if request >= 1_000 {
                counts[usize::from(ranks.urgency(work_tokens))] += 1;
            }
        }
        assert_eq!(counts[0], 0, "left to requests without a prompt");
        let used = &counts[1..=5];
        assert!(
            used.iter().all(|count| (100..=300).contains(count)),
            "{counts:?}"
        );
    }
}
