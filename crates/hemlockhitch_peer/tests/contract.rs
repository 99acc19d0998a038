//! Replies of a node to calls that violate the protocol or carry outdated data.

mod support;

use hemlockhitch_peer::Peers;
use hemlockhitch_peer::member::NodeId;
use hemlockhitch_peer::wire::peer_client::PeerClient;
use hemlockhitch_peer::wire::{self, Health, State};
use tonic::transport::Channel;
use tonic::{Code, Response, Status};

use support::{Platform, is_serving, until};

type Client = PeerClient<Channel>;

async fn client(peers: &Peers) -> Client {
    let address = format!("http://{}", peers.address());
    PeerClient::new(
        Channel::from_shared(address)
            .unwrap()
            .connect()
            .await
            .unwrap(),
    )
}

fn entry(name: &str, incarnation: u64) -> wire::MemberEntry {
    wire::MemberEntry {
        node_id: NodeId::of(&name.into()).number(),
        incarnation,
        heartbeat: 1,
        state: State::Serving.into(),
        health: Health::Alive.into(),
        generation: 0,
    }
}

fn sender(name: &str, incarnation: u64) -> wire::Member {
    wire::Member {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "dc-a".to_owned(),
        entry: Some(entry(name, incarnation)),
    }
}

fn digest() -> wire::Digest {
    wire::Digest {
        sender: Some(sender("peer", 5)),
        ..wire::Digest::default()
    }
}

fn status_code<T>(answer: Result<Response<T>, Status>) -> Code {
    answer.map_or_else(|status| status.code(), |_| Code::Ok)
}

fn digest_cases() -> Vec<(&'static str, wire::Digest)> {
    let with_sender = |change: fn(&mut wire::Member)| {
        let mut digest = digest();
        change(digest.sender.as_mut().unwrap());
        digest
    };
    let with = |change: fn(&mut wire::Digest)| {
        let mut digest = digest();
        change(&mut digest);
        digest
    };
    vec![
        ("good", digest()),
        ("no sender", with(|digest| digest.sender = None)),
        ("no status", with_sender(|sender| sender.entry = None)),
        ("no name", with_sender(|sender| sender.name.clear())),
        (
            "long name",
            with_sender(|sender| sender.name = "n".repeat(129)),
        ),
        ("no address", with_sender(|sender| sender.address.clear())),
        (
            "no state",
            with_sender(|sender| {
                sender.entry.as_mut().unwrap().set_state(State::Unspecified);
            }),
        ),
        (
            "no health",
            with(|digest| {
                let mut entry = entry("other", 1);
                entry.set_health(Health::Unspecified);
                digest.entries.push(entry);
            }),
        ),
        (
            "unknown member",
            with(|digest| digest.entries.push(entry("other", 1))),
        ),
        (
            "unknown bucket",
            with(|digest| {
                digest.owners.push(wire::Owner {
                    bucket: u32::MAX,
                    node_id: 1,
                    version: 1,
                });
            }),
        ),
        (
            "unknown notice",
            with(|digest| {
                digest.notices.push(wire::Notice {
                    kind: 99,
                    ..wire::Notice::default()
                });
            }),
        ),
        (
            "long notice",
            with(|digest| {
                let key = "k".repeat(129);
                digest.notices.push(wire::Notice {
                    kind: 1,
                    key,
                    ..wire::Notice::default()
                });
            }),
        ),
        (
            "oversize",
            with(|digest| digest.entries = vec![entry("other", 1); 65]),
        ),
    ]
}

#[tokio::test]
async fn digests_are_validated() {
    let platform = Platform::default();
    let fleet = platform.fleet(1).await;
    let mut client = client(&fleet[0]).await;
    let mut table = String::new();
    for (case, digest) in digest_cases() {
        let code = status_code(client.exchange(digest).await);
        table += &format!("{case}: {code:?}\n");
    }
    insta::assert_snapshot!(table, @r"
    good: Ok
    no sender: InvalidArgument
    no status: InvalidArgument
    no name: InvalidArgument
    long name: InvalidArgument
    no address: InvalidArgument
    no state: InvalidArgument
    no health: InvalidArgument
    unknown member: Ok
    unknown bucket: Ok
    unknown notice: InvalidArgument
    long notice: OutOfRange
    oversize: OutOfRange
    ");
}

#[tokio::test]
async fn other_calls_are_validated() {
    let platform = Platform::default();
    let fleet = platform.fleet(1).await;
    until("serving", || is_serving(&fleet[0], &platform.clock)).await;
    let mut client = client(&fleet[0]).await;
    let mut table = String::new();
    let mut record = |case: &str, code: Code| table += &format!("{case}: {code:?}\n");

    let push = |changes_json: &[u8], sender: Option<wire::Member>| wire::PushRequest {
        sender,
        changes_json: changes_json.to_vec(),
    };
    let peer = sender("peer", 5);
    record(
        "push, no sender",
        status_code(client.push(push(b"[]", None)).await),
    );
    record(
        "push, bad JSON",
        status_code(client.push(push(b"{", Some(peer.clone()))).await),
    );
    let large = vec![b' '; 3 << 20];
    record(
        "push, oversize",
        status_code(client.push(push(&large, Some(peer))).await),
    );
    let call_json = b"{}".to_vec();
    record(
        "ledger, bad JSON",
        status_code(client.ledger(wire::LedgerRequest { call_json }).await),
    );
    let hand_over = |bucket| wire::HandOverRequest {
        bucket,
        version: 1,
        closed_for_ms: 0,
        grants: Vec::new(),
    };
    record(
        "hand-over, unknown bucket",
        status_code(client.hand_over(hand_over(u32::MAX)).await),
    );
    let post = wire::PostRequest {
        notices: vec![wire::Notice::default()],
    };
    record("post, unknown kind", status_code(client.post(post).await));
    insta::assert_snapshot!(table, @r"
    push, no sender: InvalidArgument
    push, bad JSON: InvalidArgument
    push, oversize: OutOfRange
    ledger, bad JSON: InvalidArgument
    hand-over, unknown bucket: InvalidArgument
    post, unknown kind: InvalidArgument
    ");

    // A hand-over with a version that does not match the bucket's key is not
    // accepted.
    let reply = client.hand_over(hand_over(0)).await.unwrap().into_inner();
    assert!(!reply.taken);
}

#[tokio::test]
async fn old_incarnations_and_versions_change_nothing() {
    let platform = Platform::default();
    let fleet = platform.fleet(1).await;
    let mut client = client(&fleet[0]).await;
    let peer_entry = |peers: &Peers| {
        let mut members = peers.members().into_iter();
        let peer = members
            .find(|m| m.identity.name.as_str() == "peer")
            .unwrap();
        (
            peer.status.unwrap().incarnation,
            peer.status.unwrap().heartbeat,
            peer.identity.address,
        )
    };
    client.exchange(digest()).await.unwrap();
    let before = peer_entry(&fleet[0]);
    let mut old = digest();
    let old_sender = old.sender.as_mut().unwrap();
    old_sender.address = "127.0.0.1:2".to_owned();
    let old_entry = old_sender.entry.as_mut().unwrap();
    old_entry.incarnation = 4;
    old_entry.heartbeat = 100;
    client.exchange(old).await.unwrap();
    assert_eq!(peer_entry(&fleet[0]), before);

    let owner = |node_id, version| {
        let mut digest = digest();
        digest.owners.push(wire::Owner {
            bucket: 1 << 16 | 200,
            node_id,
            version,
        });
        digest
    };
    client.exchange(owner(7, 20)).await.unwrap();
    client.exchange(owner(8, 19)).await.unwrap();
    let known = client
        .owners(wire::OwnersRequest {})
        .await
        .unwrap()
        .into_inner();
    let found = known
        .owners
        .iter()
        .find(|owner| owner.bucket == 1 << 16 | 200);
    assert_eq!(found.map(|owner| owner.node_id), Some(7));
}

#[tokio::test]
async fn pushed_changes_never_move_the_configuration_back() {
    let platform = Platform::default();
    let first = platform.source.accept();
    let second = platform.source.accept();
    let fleet = platform.fleet(1).await;
    let in_force = fleet[0].feed().current();
    assert_eq!(in_force.generation, 2);
    let mut client = client(&fleet[0]).await;
    let mut other = first.clone();
    other.change.edits.clear();
    let mut after_gap = second.clone();
    after_gap.generation = 4;
    for changes in [vec![first], vec![other], vec![after_gap], vec![second]] {
        let request = wire::PushRequest {
            sender: Some(sender("peer", 5)),
            changes_json: serde_json::to_vec(&changes).unwrap(),
        };
        client.push(request).await.unwrap();
        assert_eq!(fleet[0].feed().current(), in_force);
    }
}

#[tokio::test]
async fn fetch_is_refused_before_the_configuration_is_loaded() {
    let platform = Platform::default();
    platform.store_down(true);
    let peers = platform.start("n1").await;
    let mut client = client(&peers).await;
    let answer = client.fetch(wire::FetchRequest { generation: 0 }).await;
    assert_eq!(status_code(answer), Code::Unavailable);
}

#[tokio::test]
async fn only_the_owner_grants_slots() {
    let platform = Platform::default();
    platform.store_down(true);
    let peers = platform.start("n1").await;
    let mut client = client(&peers).await;
    let request = wire::GrantRequest {
        node_id: 1,
        grant_id: 1,
        endpoint: "e-1".to_owned(),
        cold_limit: 1,
        warm_limit: 1,
    };
    let reply = client.grant(request).await.unwrap().into_inner();
    assert_eq!(reply.answer(), wire::GrantAnswer::NotOwner);
}

#[tokio::test]
async fn digest_stays_small_in_a_large_fleet() {
    let platform = Platform::default();
    let fleet = platform.fleet(1).await;
    let mut client = client(&fleet[0]).await;
    for number in 0..200 {
        let mut digest = digest();
        digest.sender = Some(sender(&format!("peer-{number}"), 1 << 40));
        client.exchange(digest).await.unwrap();
    }
    assert!(fleet[0].members().len() > 200);
    let largest = fleet[0].control_bytes().largest_digest_bytes;
    assert!(largest <= 605, "{largest} bytes");
}
