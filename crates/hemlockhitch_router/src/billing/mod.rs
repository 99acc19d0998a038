//! Cost calculation and delivery of bills to the ledger.

use std::time::Duration;

use hemlockhitch_config::configuration::Version;
use hemlockhitch_endpoint::engine::Usage;
use hemlockhitch_ledger::Ledger;
use hemlockhitch_ledger::bill::Bill;
use hemlockhitch_model::Clock;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::backend::Backend;
use crate::in_flight::{InFlight, InFlightGuard};

/// Delay between a failed delivery and the next attempt.
const DELIVERY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Number of tokens that the price of a version refers to.
const TOKENS_PER_PRICE_UNIT: u64 = 1_000_000;

/// Returns the cost of a completion in millionths of the currency unit, rounded
/// up.
pub(crate) fn cost_micros(version: &Version, usage: Usage) -> u64 {
    let prompt = u64::from(usage.prompt_tokens) * version.prompt_price_micros;
    let completion = u64::from(usage.completion_tokens) * version.completion_price_micros;
    (prompt + completion).div_ceil(TOKENS_PER_PRICE_UNIT)
}

/// Delivers bills to the ledger and retries until they are recorded.
#[derive(Clone)]
pub(crate) struct Billing<B: Backend> {
    ledger: B::Ledger,
    clock: B::Clock,
    in_flight: InFlight,
    max_wait: Duration,
}

impl<B: Backend> Billing<B> {
    /// Creates an instance whose [`Billing::deliver`] waits at most `max_wait_ms`
    /// milliseconds.
    pub(crate) fn new(
        ledger: B::Ledger,
        clock: B::Clock,
        in_flight: InFlight,
        max_wait_ms: u64,
    ) -> Self {
        Self {
            ledger,
            clock,
            in_flight,
            max_wait: Duration::from_millis(max_wait_ms),
        }
    }

    /// Delivers a bill and waits until it is recorded. When the wait times out,
    /// delivery continues in the background.
    pub(crate) async fn deliver(&self, bill: Bill) {
        let _ = timeout(self.max_wait, self.spawn_delivery(bill)).await;
    }

    /// Delivers a bill in the background without waiting for it.
    pub(crate) fn deliver_in_background(&self, bill: Bill) {
        drop(self.spawn_delivery(bill));
    }

    /// Spawns the delivery, which counts as a request in flight until the bill is
    /// recorded.
    fn spawn_delivery(&self, bill: Bill) -> JoinHandle<()> {
        let guard = self.in_flight.try_acquire(usize::MAX);
        tokio::spawn(self.clone().deliver_until_recorded(bill, guard))
    }

    async fn deliver_until_recorded(self, bill: Bill, _guard: Option<InFlightGuard>) {
        loop {
            let recorded = self.ledger.bill(bill.clone(), self.clock.now()).await;
            let Err(error) = recorded else { return };
            tracing::warn!(event = "HH0701", request = %bill.request_id, %error, "failed to record bill; will retry");
            sleep(DELIVERY_RETRY_DELAY).await;
        }
    }
}
