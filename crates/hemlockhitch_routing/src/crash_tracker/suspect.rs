//! What may make endpoints crash, and the facts about it that nodes share.

use hemlockhitch_model::mix;
use serde::{Deserialize, Serialize};

use crate::selection::PromptPart;

/// What may make endpoints crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Suspect {
    /// A request, by its fingerprint.
    Request(u64),
    /// A part of prompts, by its identifier.
    PromptPart(u64),
}

impl Suspect {
    /// Returns whether this is a part of prompts.
    #[must_use]
    pub fn is_part(self) -> bool {
        matches!(self, Self::PromptPart(_))
    }

    pub(super) fn hash(self) -> u64 {
        match self {
            Self::Request(id) => mix(id, 1),
            Self::PromptPart(id) => mix(id, 2),
        }
    }
}

/// The properties of a request by which crashes are attributed.
#[derive(Clone, Copy, Debug)]
pub struct RequestTraits<'a> {
    /// Identifies requests with the same path, caller and body.
    pub fingerprint: u64,
    /// Parts of the prompt, in order; the last one belongs to the request itself.
    pub parts: &'a [PromptPart],
}

impl RequestTraits<'_> {
    /// Iterates over what may be the cause if the request crashes an endpoint.
    pub fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let parts = shared.iter().map(|part| Suspect::PromptPart(part.id));
        [Suspect::Request(self.fingerprint)]
            .into_iter()
            .chain(parts)
    }

    pub(super) fn crash(&self, suspect: Suspect, instance_hash: u64) -> Crash {
        Crash {
            suspect,
            instance_hash,
            fingerprint: self.fingerprint,
        }
    }

    pub(super) fn has(&self, suspect: Suspect) -> bool {
        self.suspects().any(|own| own == suspect)
    }
}

/// An endpoint disconnected before it had begun its response to a request. Each suspect
/// of the request has a record of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Crash {
    /// What may be the cause.
    pub suspect: Suspect,
    /// Hash of the endpoint's instance.
    pub instance_hash: u64,
    /// Fingerprint of the request.
    pub fingerprint: u64,
}

impl Crash {
    pub(super) fn hash(&self) -> u64 {
        mix(
            mix(self.suspect.hash(), self.instance_hash),
            self.fingerprint,
        )
    }
}

/// A fact that shows that crash records do not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refutation {
    /// A request with the suspect was served, so that the suspect caused no crash before.
    Served(Suspect),
    /// The instance with this hash responded, so that it had not crashed before.
    Alive(u64),
}

impl Refutation {
    pub(super) fn refutes(&self, crash: &Crash) -> bool {
        match self {
            Self::Served(suspect) => crash.suspect == *suspect,
            Self::Alive(instance_hash) => crash.instance_hash == *instance_hash,
        }
    }
}

/// A fact with its age, as nodes exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Aged<T> {
    /// The fact.
    pub fact: T,
    /// Time since it was observed, in milliseconds.
    pub age_ms: u64,
}

/// Facts that a node shares with others. Merging them twice or in another order makes no
/// difference.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Crashes.
    pub crashes: Vec<Aged<Crash>>,
    /// Facts that refute crashes.
    pub refutations: Vec<Aged<Refutation>>,
}

impl Evidence {
    /// Returns whether there are no facts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.refutations.is_empty()
    }
}
