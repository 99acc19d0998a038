//! Membership, gossip, bucket ownership and slot grants between nodes.
//!
//! [`Peers`] runs the peer protocol of one node. It discovers the other nodes from
//! the VM list and by gossip, follows the configuration, owns its share of the
//! buckets and grants slots at endpoints.

mod client;
pub mod error;
mod exchange;
pub mod feed;
pub mod fitness;
mod hash;
pub mod ledger;
pub mod member;
pub mod notice;
pub mod ownership;
pub mod peers;
pub mod settings;
mod shared;
pub mod slots;
pub mod traffic;

/// Messages of the peer protocol, generated from `proto/peer.proto`.
#[allow(missing_docs, clippy::all, clippy::pedantic, unused_qualifications)]
#[path = "gen/hemlockhitch.peer.rs"]
#[rustfmt::skip]
pub mod wire;

pub use error::{PeerError, PeerErrorKind};
pub use feed::{ConfigurationFeed, ConfigurationSource};
pub use fitness::{Fitness, StopReason};
pub use member::{Health, InForce, Member, MemberState};
pub use notice::{Notice, NoticeKind, Notices};
pub use ownership::{Bucket, BucketKind, Owner, Ownership};
pub use peers::{Peers, PeersBuilder};
pub use settings::PeerSettings;
pub use slots::PeerSlots;
pub use traffic::ControlBytes;
