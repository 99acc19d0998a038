//! Requests that wait for a slot, by the load that the slots answer.

use hemlockhitch_routing::limits::SlotQueue;

/// Sends `per_s` requests a second at even intervals to a node with some slots, each of
/// which is held for 100 ms. Returns of 100 requests those served in time, and those that
/// waited and were late.
fn simulate(slots: u32, per_s: u64, slo_ms: u64) -> (u64, u64) {
    const HELD_MS: u64 = 100;
    const SENT: u64 = 2_000;
    let mut queue = SlotQueue::default();
    queue.record_held(HELD_MS);
    let mut random = fastrand::Rng::with_seed(5);
    let mut ends_ms: Vec<u64> = Vec::new();
    let mut waiting_since_ms: std::collections::VecDeque<u64> = std::collections::VecDeque::new();
    let (mut sent, mut in_time, mut late) = (0, 0, 0);
    let mut now_ms = 0;
    while sent < SENT || !waiting_since_ms.is_empty() {
        now_ms += 1;
        ends_ms.retain(|end_ms| *end_ms > now_ms);
        while ends_ms.len() < slots as usize
            && let Some(since_ms) = waiting_since_ms.pop_front()
        {
            queue.leave();
            ends_ms.push(now_ms + HELD_MS);
            if now_ms + HELD_MS - since_ms <= slo_ms {
                in_time += 1;
            } else {
                late += 1;
            }
        }
        if sent < SENT && random.u64(0..1_000) < per_s {
            sent += 1;
            if ends_ms.len() < slots as usize && !queue.is_waiting() {
                ends_ms.push(now_ms + HELD_MS);
                in_time += 1;
            } else if queue.join(slots, slo_ms).is_some() {
                waiting_since_ms.push_back(now_ms);
            }
        }
    }
    (in_time * 100 / sent, late * 100 / sent)
}

#[test]
fn what_waits_is_served_in_time_and_the_rest_is_refused_at_once() {
    let mut lines = Vec::new();
    for slots in [1, 3, 8] {
        for load_percent in [30, 60, 90, 180] {
            let per_s = u64::from(slots) * 10 * load_percent / 100;
            let (in_time, late) = simulate(slots, per_s, 500);
            let (without, _) = simulate(slots, per_s, 100);
            lines.push(format!(
                "{slots} slots, load {load_percent}: {in_time} of 100 in time, {late} late, {without} without waiting"
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn request_does_not_wait_without_a_slot_or_without_time() {
    let mut queue = SlotQueue::default();
    assert_eq!(queue.join(4, 1_000), None, "nothing is known yet");
    queue.record_held(100);
    assert_eq!(queue.join(0, 1_000), None);
    assert_eq!(queue.join(1, 150), None);
    assert_eq!(queue.join(1, 250), Some(150));
    assert!(queue.is_waiting());
    assert_eq!(queue.join(1, 250), None);
    queue.leave();
    assert!(!queue.is_waiting());
}
