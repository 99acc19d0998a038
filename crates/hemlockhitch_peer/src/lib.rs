//! Membership, dissemination, ownership and slot grants between nodes.
//!
//! [`Peers`] is one node among its peers. It learns of the others from the VM
//! list and from exchanges, follows the configuration, owns its part of the
//! buckets and hands out slots of endpoints.

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
