//! The delay of a stand-in's answers.

use std::time::Duration;

use hemlockhitch_standin::server::delay;
use tokio::time::{Instant, advance};

#[tokio::test(start_paused = true)]
async fn a_delay_takes_its_time_and_no_delay_takes_none() {
    // Between two ticks of the timer.
    advance(Duration::from_micros(300)).await;
    let start = Instant::now();
    delay(0).await;
    assert_eq!(start.elapsed(), Duration::ZERO);
    delay(20).await;
    assert!(start.elapsed() >= Duration::from_millis(20));
}
