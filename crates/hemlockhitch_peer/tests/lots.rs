//! Lots of slots, at the owner and at the node that holds them.

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
fn cold_slots_are_granted_singly() {
    let now = ManualClock::new().now();
    let mut book = GrantTable::new(10_000, 1);
    let request = SlotRequest {
        endpoint: endpoint(),
        cold_limit: 3,
        warm_limit: 32,
    };
    for grant_id in 1..=3 {
        let answer = book.grant(node(), grant_id, &request, now);
        let single = GrantAnswer::Granted {
            slots: 1,
            warm: false,
        };
        assert_eq!(answer, single);
    }
    assert_eq!(book.grant(node(), 4, &request, now), GrantAnswer::Full);
    // The answer to the third request was lost; asking again counts once.
    let repeated = book.grant(node(), 3, &request, now);
    assert!(matches!(repeated, GrantAnswer::Granted { slots: 1, .. }));
}

#[test]
fn unused_slots_of_a_lot_end_with_it() {
    let clock = ManualClock::new();
    let mut holder = HeldSlots::default();
    holder.add(&endpoint(), 1, 4, 100);
    clock.advance(99);
    assert_eq!(holder.take_free(&endpoint(), clock.now()), Some(1));
    clock.advance(1);
    assert_eq!(holder.take_free(&endpoint(), clock.now()), None);
    let ended = holder.release(&endpoint(), 1, SERVED, clock.now());
    assert_eq!(ended.slots, 3);
}

#[test]
fn unused_slots_are_lost_when_a_new_owner_asks() {
    let now = ManualClock::new().now();
    let mut holder = HeldSlots::default();
    holder.add(&endpoint(), 1, 4, 100);
    let told = holder.drop_unused_and_list(node(), 100, |_| true);
    assert_eq!(told.iter().map(|grant| grant.slots).sum::<u32>(), 1);
    assert_eq!(holder.take_free(&endpoint(), now), None);
}

#[test]
fn idle_lot_goes_back_with_the_renewal() {
    let now = ManualClock::new().now();
    let mut holder = HeldSlots::default();
    holder.add(&endpoint(), 1, 4, 100);
    assert_eq!(holder.take_free(&endpoint(), now), Some(1));
    let first = holder.prepare_renewal(node(), 200);
    assert!(first.unused.is_empty(), "used again since it was granted");
    let second = holder.prepare_renewal(node(), 200);
    assert_eq!(second.unused[0].slots, 2);
    assert_eq!(second.live[0].slots, 2);
}
