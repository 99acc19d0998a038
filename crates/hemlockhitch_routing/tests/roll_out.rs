//! Roll-outs of good and bad versions, played request by request.

mod support;

use fastrand::Rng;
use hemlockhitch_model::{Now, VersionName};
use hemlockhitch_routing::place::Wanted;
use hemlockhitch_routing::roll_out::{Evidence, Observation, Order, RollOut, Stage};
use support::at;

const FINISH_MS: u64 = 24_000;
const NODES: usize = 8;

fn order() -> Order {
    Order {
        target: "v2".into(),
        finish_ms: FINISH_MS,
    }
}

/// How the new version behaves.
#[derive(Clone, Copy, Debug)]
struct Version {
    failing_ratio: f64,
    slow_factor: u64,
    slow_ratio: f64,
    bad_from_ms: u64,
    /// Share of the others' answers that take four times as long, as from endpoints
    /// that turned slow.
    others_slow_ratio: f64,
    /// From when on three times as many requests come.
    crowded_from_ms: u64,
    /// The time between two requests.
    pause_ms: usize,
}

/// What came of a played roll-out.
#[derive(Debug, Default)]
struct Played {
    stage: Option<Stage>,
    ended_ms: u64,
    target_requests: u32,
    bad_answers: u32,
    all_requests: u32,
}

/// Plays 50 requests a second over eight nodes that share their stages.
fn play(version: Version, usual_failing_ratio: f64, seed: u64) -> Played {
    let mut rng = Rng::with_seed(seed);
    let mut nodes: Vec<RollOut> = (0..NODES)
        .map(|_| RollOut::new(order(), at(0)).seen_before(before(usual_failing_ratio, &mut rng)))
        .collect();
    let mut played = Played::default();
    for now_ms in (0..FINISH_MS).step_by(version.pause_ms) {
        let now = at(now_ms);
        let requests = if now_ms < version.crowded_from_ms {
            1
        } else {
            3
        };
        for _ in 0..requests {
            request(
                &mut nodes,
                &mut played,
                version,
                usual_failing_ratio,
                &mut rng,
                now,
            );
        }
        share_evidence(&mut nodes);
        let others_idle = now_ms < version.crowded_from_ms;
        let next = nodes
            .iter()
            .find_map(|node| node.next_stage(others_idle, now));
        if let Some(stage) = next {
            for node in &mut nodes {
                node.advance(stage);
            }
            played.stage = Some(stage);
            played.ended_ms = now_ms;
        }
    }
    played
}

/// Tells each node's news to the others.
fn share_evidence(nodes: &mut [RollOut]) {
    for teller in 0..NODES {
        let Some(log_ratio) = nodes[teller].evidence().news() else {
            continue;
        };
        nodes[teller].evidence().told(log_ratio);
        for (index, node) in nodes.iter_mut().enumerate() {
            if index != teller {
                node.evidence().learn(format!("node-{teller}"), log_ratio);
            }
        }
    }
}

/// What a node saw in the ten seconds before the order.
fn before(usual_failing_ratio: f64, rng: &mut Rng) -> Evidence {
    let mut evidence = Evidence::default();
    for _ in 0..60 {
        let seen = Observation {
            kind_hash: 1,
            work: 7_000,
            of_target: false,
            failed: rng.f64() < usual_failing_ratio,
            took_ms: 130,
            in_time_ms: 125,
        };
        evidence.note(seen, at(0));
    }
    evidence
}

fn request(
    nodes: &mut [RollOut],
    played: &mut Played,
    version: Version,
    usual_failing_ratio: f64,
    rng: &mut Rng,
    now: Now,
) {
    let node = &mut nodes[rng.usize(..NODES)];
    let of_target = is_moved(node, rng.u64(..), None, now);
    let version_name = if of_target { "v2" } else { "v1" };
    node.count(&version_name.into(), now);
    let is_bad = of_target && now.mono_ms >= version.bad_from_ms;
    let failing_ratio = if is_bad { version.failing_ratio } else { 0.0 };
    let failed = rng.f64() < usual_failing_ratio.max(failing_ratio);
    let is_slow = is_bad && rng.f64() < version.slow_ratio;
    let is_slow_other = !of_target && rng.f64() < version.others_slow_ratio;
    let slow_factor = match (is_slow, is_slow_other) {
        (true, _) => version.slow_factor,
        (false, true) => 4,
        (false, false) => 1,
    };
    let prompt_tokens = 500 + rng.u64(0..8_000);
    let took_ms = (60 + prompt_tokens / 70 + rng.u64(0..60)) * slow_factor;
    node.evidence().note(
        Observation {
            kind_hash: 1,
            work: 3_000 + prompt_tokens,
            of_target,
            failed,
            took_ms,
            in_time_ms: 125,
        },
        now,
    );
    played.all_requests += 1;
    played.target_requests += u32::from(of_target);
    played.bad_answers += u32::from(is_bad && (failed || slow_factor > 1));
}

const GOOD: Version = Version {
    failing_ratio: 0.0,
    slow_factor: 1,
    slow_ratio: 1.0,
    bad_from_ms: 0,
    others_slow_ratio: 0.0,
    crowded_from_ms: u64::MAX,
    pause_ms: 20,
};

#[test]
fn good_version_is_completed_in_time() {
    for seed in 0..40 {
        let played = play(GOOD, 0.01, seed);
        assert_eq!(
            played.stage,
            Some(Stage::Completed),
            "seed {seed}: {played:?}"
        );
        assert!(played.ended_ms < FINISH_MS, "seed {seed}: {played:?}");
    }
}

/// A service whose other versions fail one request in seven.
#[test]
fn good_version_of_a_failing_service_is_completed() {
    let completed = (0..40)
        .filter(|seed| play(GOOD, 0.14, *seed).stage == Some(Stage::Completed))
        .count();
    assert!(completed >= 38, "{completed} of 40");
}

/// A service with 17 requests a second, of which one in ten fails anyway: each node
/// sees three answers of the version on trial.
#[test]
fn failing_version_of_a_quiet_service_is_taken_back() {
    let failing = Version {
        failing_ratio: 0.5,
        pause_ms: 60,
        ..GOOD
    };
    let taken_back = (0..40)
        .filter(|seed| play(failing, 0.1, *seed).stage == Some(Stage::RolledBack))
        .count();
    assert!(taken_back >= 38, "{taken_back} of 40");
}

/// Bounds: 15 % of the requests and 30, as the platform states them, and the stop
/// after 50 bad answers.
#[test]
fn bad_version_is_taken_back_within_its_bounds() {
    let failing = Version {
        failing_ratio: 0.4,
        ..GOOD
    };
    let slow = Version {
        slow_factor: 8,
        ..GOOD
    };
    let half_slow = Version {
        slow_factor: 8,
        slow_ratio: 0.5,
        ..GOOD
    };
    let slow_beside_slow_endpoints = Version {
        slow_factor: 3,
        others_slow_ratio: 0.2,
        ..GOOD
    };
    let late = Version {
        bad_from_ms: 3_000,
        ..failing
    };
    for (kind, version) in [
        ("failing", failing),
        ("slow", slow),
        ("half slow", half_slow),
        ("slow beside slow endpoints", slow_beside_slow_endpoints),
        ("late", late),
    ] {
        for seed in 0..40 {
            let played = play(version, 0.01, seed);
            assert_eq!(
                played.stage,
                Some(Stage::RolledBack),
                "{kind} {seed}: {played:?}"
            );
            assert!(played.bad_answers <= 50, "{kind} {seed}: {played:?}");
            let most = f64::from(played.all_requests) * 0.15 + 30.0;
            assert!(
                f64::from(played.target_requests) <= most,
                "{kind} {seed}: {played:?}"
            );
        }
    }
}

/// What a version gets whose badness no node can see.
#[test]
fn version_without_a_sign_stays_within_its_share() {
    let crowded = Version {
        crowded_from_ms: 21_000,
        ..GOOD
    };
    for seed in 0..80 {
        let version = if seed < 40 { GOOD } else { crowded };
        let played = play(version, 0.01, seed);
        assert_eq!(played.stage, Some(Stage::Completed), "seed {seed}");
        let most = f64::from(played.all_requests) * 0.15 + 30.0;
        assert!(
            f64::from(played.target_requests) <= most,
            "seed {seed}: {played:?}"
        );
    }
}

fn is_moved(roll_out: &RollOut, session: u64, served_by: Option<&VersionName>, now: Now) -> bool {
    matches!(roll_out.wanted(session, served_by, now), Wanted::Only(_))
}

#[test]
fn session_under_way_keeps_its_version_on_trial() {
    let (old, new) = ("v1".into(), "v2".into());
    let mut roll_out = RollOut::new(order(), at(0));
    let sessions: Vec<u64> = (0..1_000)
        .filter(|session| roll_out.is_on_trial(*session))
        .collect();
    assert!(
        (30..90).contains(&sessions.len()),
        "about six in a hundred: {}",
        sessions.len()
    );
    for session in &sessions {
        assert!(
            !is_moved(&roll_out, *session, None, at(100)),
            "before the others' notes"
        );
        assert!(is_moved(&roll_out, *session, None, at(1_000)));
        assert!(!is_moved(&roll_out, *session, Some(&old), at(1_000)));
    }
    roll_out.pin(sessions.iter().copied());
    for session in &sessions {
        assert!(
            !is_moved(&roll_out, *session, None, at(1_000)),
            "pinned by another node"
        );
    }
    for session in &sessions {
        assert!(is_moved(&roll_out, *session, Some(&new), at(13_000)));
    }
    roll_out.advance(Stage::All);
    assert!((0..1_000).all(|session| is_moved(&roll_out, session, Some(&old), at(16_000))));
    roll_out.advance(Stage::Trial);
    assert_eq!(
        roll_out.stage(),
        Stage::All,
        "a stage that is read late changes nothing"
    );
    roll_out.advance(Stage::RolledBack);
    assert!((0..1_000).all(|session| !is_moved(&roll_out, session, Some(&new), at(17_000))));
}
