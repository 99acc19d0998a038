//! What endpoints state about themselves or their service, and all nodes must know.

use std::collections::BTreeMap;

use hemlockhitch_model::{Now, mix};

use crate::gossip::SharedFacts;

/// Interval after which an unchanged value is shared anew, in milliseconds.
const REFRESH_MS: u64 = 3_000;

/// Error of the time of a statement that came from another node, in milliseconds.
const TIME_ERROR_MS: u64 = 300;

/// How long a statement counts that no node has heard again, in milliseconds.
const RETENTION_MS: u64 = 120_000;

/// Relative difference below which two values are the same.
const SAME_VALUE_RATIO: f64 = 0.05;

/// What was stated about a subject, as nodes exchange it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Hash of the endpoint's instance or of its service.
    pub subject_hash: u64,
    /// The stated value; `None` if it is no longer stated.
    pub value: Option<f64>,
    /// Time since the statement, in milliseconds.
    pub age_ms: u64,
}

/// A value that is stated about a subject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stated {
    /// The value.
    pub value: f64,
    /// Hash of the endpoint's instance or of its service.
    pub subject_hash: u64,
    /// Time since a node heard it from an endpoint, in milliseconds.
    pub age_ms: u64,
}

/// The latest statement about a subject.
#[derive(Clone, Copy, Debug)]
struct Latest {
    value: Option<f64>,
    mono_ms: u64,
    /// When the statement was last shared, in milliseconds.
    shared_mono_ms: u64,
    sequence: u64,
}

/// The latest statement about each subject that any node has heard.
#[derive(Clone, Debug, Default)]
pub struct Statements {
    by_subject: BTreeMap<u64, Latest>,
    sequence: u64,
}

impl Statements {
    /// Records what a response states about a subject; returns whether the value changed.
    pub fn record(&mut self, subject_hash: u64, value: Option<f64>, now: Now) -> bool {
        let known = self.by_subject.get_mut(&subject_hash);
        let known_value = known.as_ref().and_then(|known| known.value);
        if value.is_none() && known_value.is_none() {
            return false;
        }
        let is_same = is_same(known_value, value);
        if let Some(known) = known
            && is_same
            && now.mono_ms < known.shared_mono_ms + REFRESH_MS
        {
            known.value = value;
            known.mono_ms = now.mono_ms;
            return false;
        }
        self.set(subject_hash, value, now.mono_ms, now);
        self.by_subject
            .retain(|_, stated| now.mono_ms < stated.mono_ms + RETENTION_MS);
        !is_same
    }

    /// Returns what is stated about a subject; `None` if nothing is.
    #[must_use]
    pub fn get(&self, subject_hash: u64, now: Now) -> Option<Stated> {
        let stated = self.by_subject.get(&subject_hash)?;
        let age_ms = now.mono_ms.saturating_sub(stated.mono_ms);
        let value = stated.value.filter(|_| age_ms < RETENTION_MS)?;
        Some(Stated {
            value,
            subject_hash,
            age_ms,
        })
    }

    fn set(&mut self, subject_hash: u64, value: Option<f64>, at_mono_ms: u64, now: Now) {
        self.sequence += 1;
        let latest = Latest {
            value,
            mono_ms: at_mono_ms,
            shared_mono_ms: now.mono_ms,
            sequence: self.sequence,
        };
        self.by_subject.insert(subject_hash, latest);
    }
}

impl SharedFacts for Statements {
    type Facts = Vec<Statement>;

    fn sequence(&self) -> u64 {
        self.sequence
    }

    fn facts_since(&self, sequence: u64, now: Now) -> Vec<Statement> {
        let newer = self.by_subject.iter();
        let newer = newer.filter(|(_, stated)| stated.sequence > sequence);
        let statements = newer.map(|(subject_hash, stated)| Statement {
            subject_hash: *subject_hash,
            value: stated.value,
            age_ms: now.mono_ms.saturating_sub(stated.mono_ms),
        });
        statements.collect()
    }

    fn digest(&self) -> u64 {
        let stated = self.by_subject.iter();
        let stated = stated.filter(|(_, stated)| stated.value.is_some());
        stated.fold(0, |digest, (subject_hash, _)| {
            digest ^ mix(*subject_hash, 3)
        })
    }

    fn merge(&mut self, statements: &Vec<Statement>, now: Now) {
        for statement in statements {
            let at_mono_ms = now.mono_ms.saturating_sub(statement.age_ms);
            let known = self.by_subject.get(&statement.subject_hash);
            let is_news = known.is_none_or(|known| {
                let is_same = is_same(known.value, statement.value);
                let error_ms = if is_same {
                    REFRESH_MS / 2
                } else {
                    TIME_ERROR_MS
                };
                at_mono_ms > known.mono_ms + error_ms
            });
            if is_news && statement.age_ms < RETENTION_MS {
                self.set(statement.subject_hash, statement.value, at_mono_ms, now);
            }
        }
    }
}

fn is_same(a: Option<f64>, b: Option<f64>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (a - b).abs() <= SAME_VALUE_RATIO * a.max(b),
        (None, None) => true,
        _ => false,
    }
}
