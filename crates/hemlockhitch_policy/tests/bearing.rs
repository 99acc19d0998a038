//! What an endpoint bears, by hand and against a simulated endpoint.

use hemlockhitch_model::Now;
use hemlockhitch_policy::bearing::{Bearing, ReportSign, SlotSign};
use quickcheck::{Gen, QuickCheck};

fn at(mono_ms: u64) -> Now {
    Now {
        mono_ms,
        unix_ms: 1_700_000_000_000 + mono_ms,
    }
}

fn served() -> SlotSign {
    SlotSign::Served { first_token_ms: 50 }
}

fn report(cold: bool, running: u32, limit: u32, age_ms: u64) -> SlotSign {
    SlotSign::Reported(ReportSign {
        cold,
        running,
        limit,
        age_ms,
    })
}

#[test]
fn signs() {
    // what happens at which time; the limit right after it
    let warm = report(false, 8, 8, 0);
    let slow = SlotSign::Served {
        first_token_ms: 5_000,
    };
    let cases: [(&str, &[(u64, SlotSign)]); 12] = [
        ("unknown", &[]),
        ("warm by report", &[(0, warm)]),
        ("cold report", &[(0, warm), (1_000, report(true, 8, 8, 0))]),
        (
            "report of a lower limit",
            &[(0, warm), (1_000, report(false, 2, 3, 0))],
        ),
        (
            "refused when warm",
            &[(0, warm), (1_000, SlotSign::Refused)],
        ),
        ("failed when warm", &[(0, warm), (1_000, SlotSign::Failed)]),
        (
            "many refusals at once",
            &[
                (0, warm),
                (1_000, SlotSign::Refused),
                (1_100, SlotSign::Refused),
                (1_400, SlotSign::Failed),
            ],
        ),
        (
            "refused again",
            &[
                (0, warm),
                (1_000, SlotSign::Refused),
                (1_600, SlotSign::Refused),
            ],
        ),
        (
            "refused when cold down to nothing",
            &[(0, SlotSign::Refused), (600, SlotSign::Refused)],
        ),
        (
            "report from before the refusal",
            &[
                (0, warm),
                (1_000, SlotSign::Refused),
                (1_300, report(false, 8, 8, 500)),
            ],
        ),
        (
            "report from after the refusal",
            &[
                (0, warm),
                (1_000, SlotSign::Refused),
                (1_300, report(false, 4, 8, 200)),
            ],
        ),
        (
            "slow answer",
            &[
                (0, warm),
                (1, served()),
                (2, served()),
                (3, served()),
                (4, served()),
                (5, served()),
                (6, served()),
                (7, served()),
                (8, served()),
                (9, slow),
            ],
        ),
    ];
    let mut rows = String::new();
    for (name, signs) in cases {
        let mut bearing = Bearing::new(2, 8);
        let mut now = at(0);
        for (mono_ms, sign) in signs {
            now = at(*mono_ms);
            bearing.observe(*sign, now);
        }
        rows.push_str(&format!("{name}: {}\n", bearing.limit(now)));
    }
    insta::assert_snapshot!(rows, @"
    unknown: 2
    warm by report: 8
    cold report: 2
    report of a lower limit: 3
    refused when warm: 2
    failed when warm: 2
    many refusals at once: 2
    refused again: 1
    refused when cold down to nothing: 0
    report from before the refusal: 2
    report from after the refusal: 4
    slow answer: 4
    ");
}

#[test]
fn grows_by_one_at_a_time_once_warm() {
    let mut bearing = Bearing::new(1, 8);
    let mut limits = Vec::new();
    for step in 0..20 {
        let now = at(1_000 + step * 100);
        if step == 5 {
            bearing.observe(report(false, 0, 8, 0), now);
        }
        bearing.observe(served(), now);
        limits.push(bearing.limit(now));
    }
    insta::assert_snapshot!(format!("{limits:?}"), @"[1, 1, 1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4, 5, 5, 5, 6, 6, 6]");
}

#[test]
fn without_reports_warm_after_the_cold_start() {
    let mut bearing = Bearing::new(1, 8).cold_start_ms(2_000_u64);
    let limits: Vec<u32> = (0..16)
        .map(|step| {
            let now = at(step * 250);
            bearing.observe(served(), now);
            bearing.limit(now)
        })
        .collect();
    insta::assert_snapshot!(format!("{limits:?}"), @"[1, 1, 1, 1, 1, 1, 1, 1, 2, 3, 4, 5, 6, 7, 8, 8]");
}

#[test]
fn silent_endpoint_counts_as_cold_until_a_good_sign() {
    let mut bearing = Bearing::new(1, 8);
    bearing.observe(report(false, 8, 8, 0), at(0));
    let before = bearing.limit(at(29_999));
    let silent = bearing.limit(at(30_000));
    bearing.observe(served(), at(40_000));
    let after = bearing.limit(at(40_000));
    insta::assert_snapshot!(format!("{before} {silent} {after}"), @"8 1 8");
}

#[test]
fn pause_doubles_and_ends() {
    let mut bearing = Bearing::new(1, 8);
    let mut rows = String::new();
    let mut mono_ms = 0;
    for _ in 0..7 {
        bearing.observe(SlotSign::Failed, at(mono_ms));
        let paused_ms = (0..)
            .find(|ms| bearing.limit(at(mono_ms + ms)) > 0)
            .unwrap();
        rows.push_str(&format!("{paused_ms} "));
        mono_ms += paused_ms;
    }
    bearing.observe(served(), at(mono_ms));
    rows.push_str(&format!("then {}", bearing.limit(at(mono_ms))));
    insta::assert_snapshot!(rows, @"500 1000 2000 4000 8000 16000 16000 then 1");
}

/// While cold by report the limit never exceeds the cold limit, whatever else
/// is seen; and never the warm limit.
#[test]
fn limits_hold_for_any_signs() {
    fn holds(signs: Vec<(u8, u8, u16)>) -> bool {
        let mut bearing = Bearing::new(2, 9).cold_start_ms(1_000_u64);
        let mut mono_ms = 0;
        let mut cold = true;
        signs.into_iter().all(|(kind, value, elapsed_ms)| {
            mono_ms += 1 + u64::from(elapsed_ms % 700);
            let now = at(mono_ms);
            let sign = match kind % 5 {
                0 | 1 => served(),
                2 => SlotSign::Refused,
                3 => report(true, 0, 9, 0),
                _ => report(false, u32::from(value), u32::from(value), 0),
            };
            bearing.observe(sign, now);
            cold = match sign {
                SlotSign::Refused => true,
                SlotSign::Reported(report) => report.cold,
                _ => cold && bearing.is_cold(now),
            };
            let limit = bearing.limit(now);
            let reported = kind % 5 < 4 || limit <= u32::from(value);
            limit <= 9 && reported && (!cold || limit <= 2)
        })
    }
    let random = Gen::from_size_and_seed(200, 7);
    QuickCheck::new()
        .rng(random)
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// A rule for the limit.
trait Rule {
    fn limit(&self, now: Now) -> u32;
    fn observe(&mut self, sign: SlotSign, now: Now);
}

impl Rule for Bearing {
    fn limit(&self, now: Now) -> u32 {
        Bearing::limit(self, now)
    }

    fn observe(&mut self, sign: SlotSign, now: Now) {
        Bearing::observe(self, sign, now);
    }
}

/// Always the warm limit.
struct Fixed;

impl Rule for Fixed {
    fn limit(&self, _now: Now) -> u32 {
        WARM
    }

    fn observe(&mut self, _sign: SlotSign, _now: Now) {}
}

/// One more with each request served, the cold limit after a refusal.
struct PerRequest(u32);

impl Rule for PerRequest {
    fn limit(&self, _now: Now) -> u32 {
        self.0
    }

    fn observe(&mut self, sign: SlotSign, _now: Now) {
        match sign {
            SlotSign::Served { .. } => self.0 = WARM.min(self.0 + 1),
            SlotSign::Refused | SlotSign::Failed => self.0 = COLD,
            SlotSign::Reported(_) => {}
        }
    }
}

const COLD: u32 = 1;
const WARM: u32 = 8;
const STEP_MS: u64 = 10;
const SERVICE_MS: u64 = 200;
const REPORT_LAG_MS: u64 = 500;

/// Cold for 10 s at the start and again, without warning, after 60 s.
fn is_cold(mono_ms: u64) -> bool {
    mono_ms < 10_000 || (60_000..70_000).contains(&mono_ms)
}

/// Drives an endpoint for two minutes with as many requests as the rule allows;
/// returns requests served and requests sent over what the endpoint bore.
fn drive(mut rule: impl Rule, reports: bool) -> (u32, u32) {
    let mut running: Vec<u64> = Vec::new();
    let mut history: Vec<u32> = Vec::new();
    let (mut served_count, mut over) = (0, 0);
    for mono_ms in (0..120_000).step_by(STEP_MS as usize) {
        let now = at(mono_ms);
        let before = running.len();
        running.retain(|end_ms| *end_ms > mono_ms);
        for _ in running.len()..before {
            served_count += 1;
            rule.observe(served(), now);
        }
        history.push(u32::try_from(running.len()).unwrap());
        if reports && mono_ms % 1_000 == 0 && mono_ms >= REPORT_LAG_MS {
            let measured_ms = mono_ms - REPORT_LAG_MS;
            let cold = is_cold(measured_ms);
            let limit = if cold { COLD } else { WARM };
            let shown = history[(measured_ms / STEP_MS) as usize];
            rule.observe(report(cold, shown, limit, REPORT_LAG_MS), now);
        }
        let bears = if is_cold(mono_ms) { COLD } else { WARM };
        while (running.len() as u32) < rule.limit(now) {
            if running.len() as u32 >= bears {
                over += 1;
                rule.observe(SlotSign::Refused, now);
                break;
            }
            running.push(mono_ms + SERVICE_MS);
        }
    }
    (served_count, over)
}

#[test]
fn against_other_rules() {
    let rows = [
        ("fixed warm limit", drive(Fixed, true)),
        ("one more per request", drive(PerRequest(COLD), true)),
        (
            "bearing, no reports",
            drive(Bearing::new(COLD, WARM), false),
        ),
        ("bearing, reports", drive(Bearing::new(COLD, WARM), true)),
    ];
    let rows = rows.map(|(name, (served, over))| format!("{name}: served {served}, over {over}"));
    insta::assert_snapshot!(rows.join("\n"), @"
    fixed warm limit: served 4092, over 2000
    one more per request: served 4072, over 99
    bearing, no reports: served 2601, over 1
    bearing, reports: served 3924, over 1
    ");
}
