//! Tests the delay of a stand-in's responses.

use std::time::Duration;

use hemlockhitch_standin::server::delay;
use tokio::time::{Instant, advance};

#[tokio::test(start_paused = true)]
async fn delay_waits_unless_it_is_zero() {
    // Starts between two ticks of the timer, which a sleep of zero would round up.
    advance(Duration::from_micros(300)).await;
    let start = Instant::now();
    delay(0).await;
    assert_eq!(start.elapsed(), Duration::ZERO);
    delay(20).await;
    assert!(start.elapsed() >= Duration::from_millis(20));
}
