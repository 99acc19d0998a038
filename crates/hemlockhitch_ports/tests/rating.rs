//! Contract tests of the HTTP client of the rating service against the stand-in.

use hemlockhitch_model::{Class, RequestId};
use hemlockhitch_ports::rating::{HttpRating, Rating, RatingRequest, RatingService};
use hemlockhitch_standin::rating::{RatingSettings, RatingStandin, start};
use hemlockhitch_standin::server::{Server, json_response};
use http::StatusCode;

const LONG_MS: u64 = 60_000;
const SHORT_MS: u64 = 200;

fn request(number: u128, version: &str) -> RatingRequest {
    RatingRequest {
        request_id: RequestId::from_u128(number),
        version: version.into(),
        class: Class::Chat,
        prompt: "prompt".to_owned(),
        answer: "answer".to_owned(),
    }
}

async fn standin(settings: RatingSettings) -> RatingStandin {
    start(([127, 0, 0, 1], 0).into(), settings).await.unwrap()
}

fn client(standin: &RatingStandin) -> HttpRating {
    HttpRating::new(standin.address().to_string()).timeout_ms(LONG_MS)
}

#[tokio::test]
async fn ratings_depend_only_on_version_and_request() {
    let settings = RatingSettings::default()
        .version("small@1", 0.6)
        .version("large@1", 0.9);
    let standin = standin(settings.clone()).await;
    let client = client(&standin);
    let table = [("small@1", 0.6), ("large@1", 0.9), ("other@1", 0.8)];
    for (version, quality_ratio) in table {
        let rating = client.rate(request(1, version)).await.unwrap();
        assert_eq!(rating, Rating { quality_ratio }, "{version}");
    }
    standin.set(settings.spread_ratio(0.05));
    let first = client.rate(request(1, "small@1")).await.unwrap();
    let repeated = client.rate(request(1, "small@1")).await.unwrap();
    let other = client.rate(request(2, "small@1")).await.unwrap();
    assert_eq!(first, repeated);
    assert_ne!(first, other);
    assert!((first.quality_ratio - 0.6).abs() <= 0.05);
}

#[tokio::test]
async fn missing_and_late_ratings_are_errors() {
    let healthy = RatingSettings::default;
    let table = [
        ("missing", healthy().missing_ratio(1.0), LONG_MS),
        ("late", healthy().delay_ms(LONG_MS), SHORT_MS),
        ("down", healthy().down(true), LONG_MS),
    ];
    for (name, settings, timeout_ms) in table {
        let standin = standin(settings).await;
        let client = client(&standin).timeout_ms(timeout_ms);
        let error = client.rate(request(1, "small@1")).await.unwrap_err();
        let error = error.to_string();
        let remedy = "; the request is counted as not rated";
        assert!(error.starts_with("rating service: "), "{name}: {error}");
        assert!(error.ends_with(remedy), "{name}: {error}");
    }
}

#[test]
fn missing_ratings_are_deterministic() {
    let settings = RatingSettings::default().missing_ratio(0.25);
    let rated = (0..4_000).filter(|number| settings.rate(&request(*number, "small@1")).is_some());
    insta::assert_snapshot!(rated.count(), @"2997");
}

#[tokio::test]
async fn quality_out_of_range_is_an_error() {
    for quality_ratio in [-0.1, 1.1] {
        let handler =
            move |_| async move { json_response(StatusCode::OK, &Rating { quality_ratio }) };
        let server = Server::start(([127, 0, 0, 1], 0).into(), handler).await;
        let server = server.unwrap();
        let client = HttpRating::new(server.address().to_string()).timeout_ms(LONG_MS);
        let rating = client.rate(request(1, "small@1")).await;
        assert!(rating.is_err(), "{quality_ratio}");
    }
}
