//! Messages between nodes as earlier builds write them, for a fleet in which two builds run
//! side by side during an upgrade.
//!
//! The bytes are those that the builds 78a9afd and 6929ef1 write, whose generated code is
//! the same (`git show BUILD:crates/hemlockhitch_peer/src/gen/hemlockhitch.peer.rs`): the
//! encoding of one message with every field set, computed from the field numbers there and
//! compared with what the code writes.

use hemlockhitch_peer::wire;
use prost::Message;

const DIGEST: &str = "0a2d0a066e6f64652d31120a31302e302e302e313a371a01612214090201000000000000100318900320012801304d1214090201000000000000100318900320012801304d1a0d080c1102010000000000001809220f080112016b1a01762080d095ffbc31";

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

/// The message that the bytes hold.
fn digest() -> wire::Digest {
    let entry = wire::MemberEntry {
        node_id: 0x0102,
        incarnation: 3,
        heartbeat: 400,
        state: 1,
        health: 1,
        generation: 77,
    };
    wire::Digest {
        sender: Some(wire::Member {
            name: "node-1".to_owned(),
            address: "10.0.0.1:7".to_owned(),
            data_centre: "a".to_owned(),
            entry: Some(entry),
        }),
        entries: vec![entry],
        owners: vec![wire::Owner {
            bucket: 12,
            node_id: 0x0102,
            version: 9,
        }],
        notices: vec![wire::Notice {
            kind: 1,
            key: "k".to_owned(),
            value: "v".to_owned(),
            expires_unix_ms: 1_700_000_000_000,
        }],
    }
}

#[test]
fn digests_are_read_and_written_alike() {
    let later = bytes(&format!("{DIGEST}{UNKNOWN_FIELD}"));
    let read = wire::Digest::decode(bytes(DIGEST).as_slice()).expect("a digest");
    let with_unknown_field = wire::Digest::decode(later.as_slice()).expect("a later digest");
    assert_eq!(read, digest());
    assert_eq!(with_unknown_field, digest());
    assert_eq!(digest().encode_to_vec(), bytes(DIGEST));
}

#[test]
fn missing_fields_have_defaults() {
    let empty = wire::Digest::decode([].as_slice()).expect("a digest");
    assert_eq!(empty, wire::Digest::default());
}
