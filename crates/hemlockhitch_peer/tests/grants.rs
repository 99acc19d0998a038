//! Grants of one or more slots, at the owner and at the node that uses them.

use hemlockhitch_model::{Clock, EndpointName, ManualClock, NodeName};
use hemlockhitch_peer::member::NodeId;
use hemlockhitch_peer::slots::{GrantAnswer, GrantTable, HeldSlots, SlotReport, SlotRequest};

const SERVED: Option<SlotReport> = Some(SlotReport::Served { first_token_ms: 1 });

fn endpoint() -> EndpointName {
    "e-1".into()
}

fn node() -> NodeId {
    NodeId::of(&NodeName::from("n1"))
}

#[test]
fn cold_endpoint_grants_one_slot_at_a_time() {
    let now = ManualClock::new().now();
    let mut grant_table = GrantTable::new(10_000, 1);
    let request = SlotRequest {
        endpoint: endpoint(),
        cold_limit: 3,
        warm_limit: 32,
    };
    for grant_id in 1..=3 {
        let answer = grant_table.grant(node(), grant_id, &request, now);
        let single_slot = GrantAnswer::Granted {
            slots: 1,
            warm: false,
        };
        assert_eq!(answer, single_slot);
    }
    assert_eq!(
        grant_table.grant(node(), 4, &request, now),
        GrantAnswer::Full
    );
    // The reply to the third request was lost; the retry does not use another slot.
    let repeated = grant_table.grant(node(), 3, &request, now);
    assert!(matches!(repeated, GrantAnswer::Granted { slots: 1, .. }));
}

#[test]
fn free_slots_expire_with_their_grant() {
    let clock = ManualClock::new();
    let mut held_slots = HeldSlots::default();
    held_slots.add(&endpoint(), 1, 4, 100);
    clock.advance(99);
    assert_eq!(held_slots.take_free(&endpoint(), clock.now()), Some(1));
    clock.advance(1);
    assert_eq!(held_slots.take_free(&endpoint(), clock.now()), None);
    let released = held_slots.release(&endpoint(), 1, SERVED, clock.now());
    assert_eq!(released.slots, 3);
}

#[test]
fn free_slots_are_dropped_when_a_new_owner_asks() {
    let now = ManualClock::new().now();
    let mut held_slots = HeldSlots::default();
    held_slots.add(&endpoint(), 1, 4, 100);
    let reported = held_slots.drop_free_and_list(node(), 100, |_| true);
    assert_eq!(reported.iter().map(|grant| grant.slots).sum::<u32>(), 1);
    assert_eq!(held_slots.take_free(&endpoint(), now), None);
}

#[test]
fn idle_slots_are_released_at_the_renewal() {
    let now = ManualClock::new().now();
    let mut held_slots = HeldSlots::default();
    held_slots.add(&endpoint(), 1, 4, 100);
    assert_eq!(held_slots.take_free(&endpoint(), now), Some(1));
    let first = held_slots.prepare_renewal(node(), 200);
    assert!(first.idle.is_empty(), "a slot was reused since the grant");
    let second = held_slots.prepare_renewal(node(), 200);
    assert_eq!(second.idle[0].slots, 2);
    assert_eq!(second.live[0].slots, 2);
}
