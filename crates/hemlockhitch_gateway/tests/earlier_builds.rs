//! Messages of the feed as earlier builds write them, for a fleet in which two builds run
//! side by side during an upgrade.
//!
//! The bytes were written by the generated code of the builds 78a9afd and 6929ef1
//! (`git show BUILD:crates/hemlockhitch_gateway/src/gen/hemlockhitch.feed.rs`, compiled into a
//! test that encodes one message of each kind with every field set and prints it).

use std::fmt::Debug;

use prost::Message;

#[allow(dead_code, clippy::all, clippy::pedantic, unused_qualifications)]
#[path = "../src/gen/hemlockhitch.feed.rs"]
#[rustfmt::skip]
mod wire;

/// The same in both builds.
const FOLLOW_REQUEST: &str =
    "08800410f4031a066e6f64652d312211098877665544332211100318b40b20fa01280232080700000000000000";

/// The same in both builds.
const FOLLOW_REPLY: &str = "08810410011a080a016b120176180922016428283211098877665544332211100318b40b20fa01380242080700000000000000";

const FACTS_OF_78A9AFD: &str = "09630000000000000010011a1f0a0911a2071e5c000000001105000000000000001906000000000000002046220d0a0911a2071e5c0000000010502a0b090500000000000000105a32140905000000000000001100000000000004401864320b0906000000000000001864";

/// Adds the refusals that endpoints survive.
const FACTS_OF_6929EF1: &str = "09630000000000000010011a1f0a0911a2071e5c000000001105000000000000001906000000000000002046220d0a0911a2071e5c0000000010502a0b090500000000000000105a32140905000000000000001100000000000004401864320b09060000000000000018643a14090800000000000000110000000000000840186e";

/// A field that no build knows: number 1000, the text `later`.
const UNKNOWN_FIELD: &str = "c23e056c61746572";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().collect();
    let pairs = digits.chunks(2);
    let pairs = pairs.map(|pair| std::str::from_utf8(pair).expect("digits"));
    pairs
        .map(|pair| u8::from_str_radix(pair, 16).expect("two digits"))
        .collect()
}

/// Decodes a message of an earlier build, also with a field of a later one after it, and
/// checks that the earlier build reads what this one writes of it.
fn decode<M: Message + Default + PartialEq + Debug>(hex: &str) -> M {
    let message = M::decode(bytes(hex).as_slice()).expect("a message");
    let later = bytes(&format!("{hex}{UNKNOWN_FIELD}"));
    let with_unknown_field = M::decode(later.as_slice()).expect("a later message");
    assert!(message == with_unknown_field, "{with_unknown_field:?}");
    assert_eq!(message.encode_to_vec(), bytes(hex), "{message:?}");
    message
}

fn assert_load(loads: &[wire::EndpointLoad]) {
    let [load] = loads else {
        panic!("one load: {loads:?}");
    };
    assert_eq!(load.endpoint_hash, 0x1122_3344_5566_7788);
    let numbers = (load.requests, load.unread_tokens, load.pause_ms);
    assert_eq!(numbers, (3, 1_460, 250));
}

#[test]
fn requests_of_the_feed_are_read() {
    let request: wire::FollowRequest = decode(FOLLOW_REQUEST);
    let position = (request.epoch, request.revision, request.wait_ms);
    assert_eq!(position, (2, 512, 500));
    assert_eq!(request.node, "node-1");
    assert_eq!(request.leaving, [7]);
    assert_load(&request.loads);
}

#[test]
fn replies_of_the_feed_are_read() {
    let reply: wire::FollowReply = decode(FOLLOW_REPLY);
    assert_eq!((reply.epoch, reply.revision, reply.age_ms), (2, 513, 40));
    assert!(reply.complete);
    let entry = &reply.written[0];
    let entry = (entry.key.as_str(), entry.value.as_str(), entry.version);
    assert_eq!(entry, ("k", "v", 9));
    assert_eq!(
        (reply.deleted.as_slice(), reply.leaving.as_slice()),
        (["d".to_owned()].as_slice(), [7].as_slice())
    );
    assert_load(&reply.loads);
    assert!(reply.removed.is_empty(), "unknown to that build");
}

#[test]
fn facts_are_read() {
    for (hex, brittle) in [(FACTS_OF_78A9AFD, 0), (FACTS_OF_6929EF1, 1)] {
        let facts: wire::Facts = decode(hex);
        assert_eq!((facts.digest, facts.compare), (99, true));
        let part = wire::Suspect {
            kind: Some(wire::suspect::Kind::PromptPart(0x5c1e_07a2)),
        };
        let crash = &facts.crashes[0];
        assert_eq!(crash.suspect, Some(part));
        let crash = (crash.instance_hash, crash.fingerprint, crash.age_ms);
        assert_eq!(crash, (5, 6, 70));
        assert_eq!(
            (facts.served[0].suspect, facts.served[0].age_ms),
            (Some(part), 80)
        );
        assert_eq!(
            (facts.alive[0].instance_hash, facts.alive[0].age_ms),
            (5, 90)
        );
        let rates = facts
            .rates
            .iter()
            .map(|rate| (rate.subject_hash, rate.value));
        let rates: Vec<_> = rates.collect();
        assert_eq!(rates, [(5, Some(2.5)), (6, None)]);
        assert_eq!(facts.brittle.len(), brittle);
    }
}

/// An empty message is one in which every field is missing.
#[test]
fn missing_fields_have_defaults() {
    let request: wire::FollowRequest = decode("");
    assert_eq!((request.epoch, request.revision), (0, 0), "it asks for all");
    let reply: wire::FollowReply = decode("");
    assert!(!reply.complete, "nothing is deleted for what it lacks");
    let facts: wire::Facts = decode("");
    assert!(!facts.compare);
}
