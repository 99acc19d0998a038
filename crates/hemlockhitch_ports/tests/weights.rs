//! Contract tests of the HTTP client of the weight store against the stand-in.

use std::time::Duration;

use hemlockhitch_model::VersionName;
use hemlockhitch_ports::weights::{HttpWeights, WeightStore, WeightsError};
use hemlockhitch_standin::weights::{WeightsSettings, WeightsStandin, start};

const LONG_MS: u64 = 60_000;
const SHORT_MS: u64 = 200;

async fn standin(settings: WeightsSettings) -> WeightsStandin {
    start(([127, 0, 0, 1], 0).into(), settings).await.unwrap()
}

fn client(standin: &WeightsStandin) -> HttpWeights {
    HttpWeights::new(standin.address().to_string()).timeout_ms(LONG_MS)
}

/// Returns the time to wait before the next attempt, if the rate limit was reached.
fn retry_after_ms(result: &Result<(), WeightsError>) -> Option<u64> {
    match result {
        Err(WeightsError::RateLimited { retry_after_ms }) => Some(*retry_after_ms),
        _ => None,
    }
}

#[tokio::test]
async fn reservation_beyond_the_burst_gets_a_retry_delay() {
    let settings = WeightsSettings::default().interval_ms(LONG_MS).burst(2);
    let standin = standin(settings).await;
    let client = client(&standin);
    let version = VersionName::from("small@1");
    client.reserve(&version).await.unwrap();
    client.reserve(&version).await.unwrap();
    let refused = client.reserve(&version).await;
    let wait_ms = retry_after_ms(&refused).unwrap();
    assert!((1..=LONG_MS).contains(&wait_ms), "{wait_ms}");
}

#[tokio::test]
async fn retry_after_the_delay_is_accepted() {
    let settings = WeightsSettings::default().interval_ms(10 * SHORT_MS);
    let standin = standin(settings).await;
    let client = client(&standin);
    let version = VersionName::from("small@1");
    client.reserve(&version).await.unwrap();
    let refused = client.reserve(&version).await;
    let wait_ms = retry_after_ms(&refused).unwrap();
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    client.reserve(&version).await.unwrap();
}

#[tokio::test]
async fn reservation_failures() {
    let healthy = WeightsSettings::default;
    let table = [
        ("healthy", healthy(), LONG_MS, "reserved"),
        ("missing", healthy().missing("small@1"), LONG_MS, "missing"),
        (
            "other missing",
            healthy().missing("small@2"),
            LONG_MS,
            "reserved",
        ),
        ("down", healthy().down(true), LONG_MS, "unavailable"),
        ("late", healthy().delay_ms(LONG_MS), SHORT_MS, "unavailable"),
    ];
    for (name, settings, timeout_ms, expected) in table {
        let standin = standin(settings).await;
        let client = client(&standin).timeout_ms(timeout_ms);
        let outcome = match client.reserve(&"small@1".into()).await {
            Ok(()) => "reserved",
            Err(WeightsError::RateLimited { .. }) => "rate limited",
            Err(WeightsError::Missing { .. }) => "missing",
            Err(WeightsError::Unavailable { .. }) => "unavailable",
        };
        assert_eq!(outcome, expected, "{name}");
    }
}
