//! Members that die, freeze, restart or become isolated.

mod support;

use hemlockhitch_model::Clock;
use hemlockhitch_peer::member::NodeId;
use hemlockhitch_peer::wire::peer_client::PeerClient;
use hemlockhitch_peer::{Fitness, Health, Member, MemberState, Peers, StopReason, wire};
use tonic::transport::Channel;

use support::frozen::FreezableNode;
use support::{Platform, is_serving, until};

fn member(peers: &Peers, name: &str) -> Member {
    let mut members = peers.members().into_iter();
    members.find(|m| m.identity.name.as_str() == name).unwrap()
}

fn health(peers: &Peers, name: &str) -> Option<Health> {
    member(peers, name).status.map(|status| status.health)
}

fn incarnation(peers: &Peers, name: &str) -> u64 {
    member(peers, name).status.unwrap().incarnation
}

async fn client(peers: &Peers) -> PeerClient<Channel> {
    let address = format!("http://{}", peers.address());
    PeerClient::new(
        Channel::from_shared(address)
            .unwrap()
            .connect()
            .await
            .unwrap(),
    )
}

#[tokio::test]
async fn dead_member_is_detected_by_all_nodes() {
    let platform = Platform::default();
    let mut fleet = platform.fleet(5).await;
    drop(fleet.remove(0));
    until("n1 dead", || {
        fleet
            .iter()
            .all(|peers| health(peers, "n1") == Some(Health::Dead))
    })
    .await;
    let others = ["n2", "n3", "n4", "n5"];
    until("others alive", || {
        others
            .iter()
            .all(|name| health(&fleet[0], name) == Some(Health::Alive))
    })
    .await;
}

#[tokio::test]
async fn frozen_node_stays_dead_until_it_refutes() {
    let platform = Platform::default();
    let frozen = FreezableNode::start(&platform, "frozen");
    let fleet = platform.fleet_alongside(2, 1).await;
    until("all serving", || is_serving(&frozen.peers, &platform.clock)).await;
    let before = incarnation(&fleet[0], "frozen");

    let thaw = frozen.freeze();
    until("dead", || {
        fleet
            .iter()
            .all(|peers| health(peers, "frozen") == Some(Health::Dead))
    })
    .await;
    let stale = member(&fleet[0], "frozen");
    let now = platform.clock.now();
    let isolated = StopReason::Isolated;
    assert_eq!(
        frozen.peers.fitness(now),
        Fitness::SelfStopped { reason: isolated }
    );
    assert_eq!(frozen.peers.ownership().held(now), []);

    // An update with the same incarnation does not refute the death, even if the node
    // itself sends it.
    let mut digest = digest_of(&stale);
    digest.entries = digest.sender.clone().unwrap().entry.into_iter().collect();
    client(&fleet[0]).await.exchange(digest).await.unwrap();
    assert_eq!(health(&fleet[0], "frozen"), Some(Health::Dead));

    drop(thaw);
    until("back with a higher incarnation", || {
        fleet.iter().all(|peers| {
            health(peers, "frozen") == Some(Health::Alive) && incarnation(peers, "frozen") > before
        })
    })
    .await;
}

fn digest_of(member: &Member) -> wire::Digest {
    let status = member.status.unwrap();
    let entry = wire::MemberEntry {
        node_id: node_id(&member.identity.name.to_string()),
        incarnation: status.incarnation,
        heartbeat: status.heartbeat + 1_000,
        state: wire::State::Serving.into(),
        health: wire::Health::Alive.into(),
        generation: status.generation,
    };
    let sender = wire::Member {
        name: member.identity.name.to_string(),
        address: member.identity.address.clone(),
        data_centre: member.identity.data_centre.to_string(),
        entry: Some(entry),
    };
    wire::Digest {
        sender: Some(sender),
        ..wire::Digest::default()
    }
}

fn node_id(name: &str) -> u64 {
    NodeId::of(&name.into()).number()
}

#[tokio::test]
async fn isolated_node_stops_itself() {
    let platform = Platform::default();
    let mut fleet = platform.fleet(3).await;
    let last = fleet.remove(2);
    platform.store_down(true);
    let clock = platform.clock;
    until("store silent", || platform.source.is_down_past_self_stop()).await;
    assert!(is_serving(&last, &clock), "peers keep it going");
    drop(fleet);
    let reason = StopReason::Isolated;
    until("stopped", || {
        last.fitness(clock.now()) == Fitness::SelfStopped { reason }
    })
    .await;
    platform.store_down(false);
    until("serves with the store alone", || is_serving(&last, &clock)).await;
}

#[tokio::test]
async fn single_node_serves_with_the_store_alone() {
    let platform = Platform::default();
    let fleet = platform.fleet(1).await;
    until("serving", || is_serving(&fleet[0], &platform.clock)).await;
    until("owns every bucket", || {
        fleet[0].ownership().held(platform.clock.now()).len() == 12
    })
    .await;
}

#[tokio::test]
async fn starting_node_loads_from_a_peer_while_the_store_is_down() {
    let platform = Platform::default();
    platform.source.accept();
    let fleet = platform.fleet(3).await;
    until("loaded", || {
        fleet.iter().all(|p| p.feed().generation() == 1)
    })
    .await;
    platform.store_down(true);
    platform.vms.set_down(true);
    let change = platform.source.accept();
    fleet[0].submitted(change);
    until("spread by peers", || {
        fleet.iter().all(|p| p.feed().generation() == 2)
    })
    .await;
    platform.vms.set_down(false);
    let late = platform.start("late").await;
    until("late node serves", || is_serving(&late, &platform.clock)).await;
    assert_eq!(late.feed().current(), fleet[0].feed().current());
}

#[tokio::test]
async fn change_waits_for_two_dead_nodes_but_not_for_one() {
    let platform = Platform::default();
    let mut fleet = platform.fleet(5).await;
    let clock = platform.clock;
    drop(fleet.pop());
    until("n5 dead", || health(&fleet[0], "n5") == Some(Health::Dead)).await;
    fleet[0].submitted(platform.source.accept());
    until("accepted without n5", || {
        fleet[0].in_force(1, clock.now()).accepted
    })
    .await;

    drop(fleet.pop());
    until("n4 dead", || health(&fleet[0], "n4") == Some(Health::Dead)).await;
    fleet[0].submitted(platform.source.accept());
    until("live nodes confirm", || {
        fleet[0].in_force(2, clock.now()).confirmed.len() == 3
    })
    .await;
    let progress = fleet[0].in_force(2, clock.now());
    assert!(!progress.accepted, "n4 and n5 may hear each other");
    assert_eq!(progress.waiting.len(), 2);

    platform.vms.remove("n4");
    platform.vms.remove("n5");
    until("accepted", || fleet[0].in_force(2, clock.now()).accepted).await;
}

#[tokio::test]
async fn drained_node_is_gone_on_all_nodes() {
    let platform = Platform::default();
    let mut fleet = platform.fleet(3).await;
    let leaving = fleet.remove(0);
    leaving.drain().await.unwrap();
    until("n1 gone", || {
        fleet.iter().all(|peers| {
            let status = member(peers, "n1").status.unwrap();
            status.state == MemberState::Gone
        })
    })
    .await;
    assert!(leaving.drain().await.is_err());
}
