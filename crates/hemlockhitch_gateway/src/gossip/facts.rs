//! Facts on the wire between nodes.

use hemlockhitch_model::Now;
use hemlockhitch_routing::crash_tracker::{Aged, Crash, Evidence, Refutation, Suspect};
use hemlockhitch_routing::gossip::SharedFacts;
use hemlockhitch_routing::limits::Statement;

use crate::state::State;
use crate::wire;

/// How far a node has sent its facts, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Sequences {
    crashes: u64,
    rates: u64,
    brittle: u64,
}

impl State {
    /// Returns how many facts this node has learned.
    pub(super) fn fact_sequences(&self) -> Sequences {
        Sequences {
            crashes: self.crash_tracker.sequence(),
            rates: self.fleet.named_rates.sequence(),
            brittle: self.fleet.brittleness.statements.sequence(),
        }
    }

    /// Returns a digest of all facts.
    pub(super) fn fact_digest(&self) -> u64 {
        let stated = [&self.fleet.named_rates, &self.fleet.brittleness.statements];
        stated
            .iter()
            .fold(self.crash_tracker.digest(), |digest, stated| {
                digest ^ stated.digest()
            })
    }

    /// Returns the facts that this node learned since.
    pub(super) fn facts_since(&self, since: Sequences, now: Now) -> wire::Facts {
        let evidence = self.crash_tracker.facts_since(since.crashes, now);
        let rates = self.fleet.named_rates.facts_since(since.rates, now);
        let brittle = &self.fleet.brittleness.statements;
        let brittle = brittle.facts_since(since.brittle, now);
        let mut facts = wire::Facts {
            digest: self.fact_digest(),
            crashes: evidence.crashes.iter().map(crash_to_wire).collect(),
            rates: rates.iter().map(statement_to_wire).collect(),
            brittle: brittle.iter().map(statement_to_wire).collect(),
            ..wire::Facts::default()
        };
        for refutation in &evidence.refutations {
            let age_ms = age_to_wire(refutation.age_ms);
            match refutation.fact {
                Refutation::Served(suspect) => facts.served.push(wire::ServedFact {
                    suspect: Some(suspect_to_wire(suspect)),
                    age_ms,
                }),
                Refutation::Alive(instance_hash) => facts.alive.push(wire::AliveFact {
                    instance_hash,
                    age_ms,
                }),
            }
        }
        facts
    }
}

/// Returns whether a message holds no facts.
pub(super) fn is_empty(facts: &wire::Facts) -> bool {
    facts.crashes.is_empty()
        && facts.served.is_empty()
        && facts.alive.is_empty()
        && facts.rates.is_empty()
        && facts.brittle.is_empty()
}

/// Decodes facts about crashes. Those of a kind that this version does not know are left
/// out.
pub(super) fn evidence_from_wire(facts: &wire::Facts) -> Evidence {
    let served = facts.served.iter().filter_map(|served| {
        Some(Aged {
            fact: Refutation::Served(suspect_from_wire(served.suspect.as_ref())?),
            age_ms: served.age_ms.into(),
        })
    });
    let alive = facts.alive.iter().map(|alive| Aged {
        fact: Refutation::Alive(alive.instance_hash),
        age_ms: alive.age_ms.into(),
    });
    Evidence {
        crashes: facts.crashes.iter().filter_map(crash_from_wire).collect(),
        refutations: served.chain(alive).collect(),
    }
}

/// Decodes statements. A value that is no number counts as none.
pub(super) fn statements_from_wire(facts: &[wire::StatementFact]) -> Vec<Statement> {
    let statements = facts.iter().map(|fact| Statement {
        subject_hash: fact.subject_hash,
        value: fact
            .value
            .filter(|value| value.is_finite() && *value >= 0.0),
        age_ms: fact.age_ms.into(),
    });
    statements.collect()
}

fn statement_to_wire(statement: &Statement) -> wire::StatementFact {
    wire::StatementFact {
        subject_hash: statement.subject_hash,
        value: statement.value,
        age_ms: age_to_wire(statement.age_ms),
    }
}

fn crash_to_wire(crash: &Aged<Crash>) -> wire::CrashFact {
    wire::CrashFact {
        suspect: Some(suspect_to_wire(crash.fact.suspect)),
        instance_hash: crash.fact.instance_hash,
        fingerprint: crash.fact.fingerprint,
        age_ms: age_to_wire(crash.age_ms),
    }
}

fn crash_from_wire(crash: &wire::CrashFact) -> Option<Aged<Crash>> {
    Some(Aged {
        fact: Crash {
            suspect: suspect_from_wire(crash.suspect.as_ref())?,
            instance_hash: crash.instance_hash,
            fingerprint: crash.fingerprint,
        },
        age_ms: crash.age_ms.into(),
    })
}

fn suspect_to_wire(suspect: Suspect) -> wire::Suspect {
    let kind = match suspect {
        Suspect::Request(fingerprint) => wire::suspect::Kind::Request(fingerprint),
        Suspect::PromptPart(id) => wire::suspect::Kind::PromptPart(id),
    };
    wire::Suspect { kind: Some(kind) }
}

fn suspect_from_wire(suspect: Option<&wire::Suspect>) -> Option<Suspect> {
    Some(match suspect?.kind? {
        wire::suspect::Kind::Request(fingerprint) => Suspect::Request(fingerprint),
        wire::suspect::Kind::PromptPart(id) => Suspect::PromptPart(id),
    })
}

fn age_to_wire(age_ms: u64) -> u32 {
    u32::try_from(age_ms).unwrap_or(u32::MAX)
}
