//! Calls beyond their timeout, without a network.

use std::cell::Cell;
use std::time::Duration;

use hemlockhitch_client::{Arrival, wait_while_arriving};
use tokio::time::{Instant, sleep};

const TIMEOUT: Duration = Duration::from_millis(800);

/// Waits for a response of `size` bytes that arrives at a rate from `starts_at` on.
async fn fetch(size: u64, bytes_per_s: u64, starts_at: Duration) -> (Option<()>, Duration) {
    let started = Instant::now();
    let received = Cell::new(0);
    let call = async {
        sleep(starts_at).await;
        while received.get() < size {
            sleep(Duration::from_millis(10)).await;
            received.set(received.get() + bytes_per_s / 100);
        }
    };
    let response = wait_while_arriving(call, TIMEOUT, || received.get()).await;
    (response, started.elapsed())
}

/// Guards against a large response that is given up after a fixed time.
#[tokio::test(start_paused = true)]
async fn large_response_on_a_slow_link_arrives() {
    for starts_at_ms in [0, 300, 600, 700] {
        let starts_at = Duration::from_millis(starts_at_ms);
        let (response, _) = fetch(1_000_000, 1_250_000, starts_at).await;
        assert_eq!(response, Some(()), "from {starts_at_ms} ms on");
    }
}

/// Guards against waiting longer than before for a peer that is silent.
#[tokio::test(start_paused = true)]
async fn silent_peer_is_given_up_at_the_timeout() {
    let (response, took) = fetch(1_000_000, 1_250_000, Duration::from_secs(60)).await;
    assert_eq!(response, None);
    assert!(took < TIMEOUT + Duration::from_millis(10), "{took:?}");
}

/// Guards against a peer that sends a few bytes now and then and is waited for without end.
#[tokio::test(start_paused = true)]
async fn peer_that_sends_little_is_given_up_at_the_timeout() {
    let (response, took) = fetch(1_000_000, 40_000, Duration::ZERO).await;
    assert_eq!(response, None);
    assert!(took < TIMEOUT + Duration::from_millis(10), "{took:?}");
}

/// Guards against a peer that stops in the middle of a response and is waited for.
#[tokio::test(start_paused = true)]
async fn peer_that_stops_sending_is_given_up_soon() {
    let mut arrival = Arrival::default();
    assert!(arrival.is_advancing(500_000));
    assert!(!arrival.is_advancing(500_100));
}
