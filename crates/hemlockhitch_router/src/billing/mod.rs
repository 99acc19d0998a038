//! Prices and the delivery of bills to the ledger.

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

/// The pause after a failed delivery.
const REDELIVERY_PAUSE: Duration = Duration::from_millis(500);

/// Tokens that a price is given for.
const PRICED_TOKENS: u64 = 1_000_000;

/// Returns the cost of a completion in millionths of the currency unit, rounded
/// up.
pub(crate) fn cost_micros(version: &Version, usage: Usage) -> u64 {
    let prompt = u64::from(usage.prompt_tokens) * version.prompt_price_micros;
    let completion = u64::from(usage.completion_tokens) * version.completion_price_micros;
    (prompt + completion).div_ceil(PRICED_TOKENS)
}

/// Delivers bills; clones share the ledger.
#[derive(Clone)]
pub(crate) struct Billing<B: Backend> {
    ledger: B::Ledger,
    clock: B::Clock,
    in_flight: InFlight,
    wait: Duration,
}

impl<B: Backend> Billing<B> {
    /// Creates the delivery; an answer waits at most `wait_ms` milliseconds.
    pub(crate) fn new(
        ledger: B::Ledger,
        clock: B::Clock,
        in_flight: InFlight,
        wait_ms: u64,
    ) -> Self {
        Self {
            ledger,
            clock,
            in_flight,
            wait: Duration::from_millis(wait_ms),
        }
    }

    /// Delivers a bill; returns when it is recorded or the wait is over, after
    /// which the delivery goes on in the background.
    pub(crate) async fn deliver(&self, bill: Bill) {
        let _ = timeout(self.wait, self.start(bill)).await;
    }

    /// Delivers a bill in the background.
    pub(crate) fn deliver_later(&self, bill: Bill) {
        drop(self.start(bill));
    }

    /// Starts the delivery, which counts as in flight until the bill is recorded.
    fn start(&self, bill: Bill) -> JoinHandle<()> {
        let guard = self.in_flight.enter(usize::MAX);
        tokio::spawn(self.clone().deliver_until_recorded(bill, guard))
    }

    async fn deliver_until_recorded(self, bill: Bill, _guard: Option<InFlightGuard>) {
        loop {
            let recorded = self.ledger.bill(bill.clone(), self.clock.now()).await;
            let Err(error) = recorded else { return };
            tracing::warn!(event = "HH0701", request = %bill.request_id, %error, "bill not recorded yet");
            sleep(REDELIVERY_PAUSE).await;
        }
    }
}
