//! Facts on the wire between nodes.

use hemlockhitch_routing::crash_tracker::{Aged, Crash, Evidence, Refutation, Suspect};

use crate::wire;

/// Encodes facts; whether to compare them is up to the caller.
pub(super) fn to_wire(evidence: &Evidence, digest: u64, compare: bool) -> wire::Facts {
    let mut facts = wire::Facts {
        digest,
        compare,
        ..wire::Facts::default()
    };
    facts.crashes = evidence.crashes.iter().map(crash_to_wire).collect();
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

/// Decodes facts. Those of a kind that this version does not know are left out.
pub(super) fn from_wire(facts: &wire::Facts) -> Evidence {
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
