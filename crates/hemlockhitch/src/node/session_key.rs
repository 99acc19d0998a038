//! The key of session tokens, shared by all nodes through the store.

use std::time::Duration;

use hemlockhitch_ports::key_value::{KeyValue, KeyValueError, Swap, SwapOutcome};
use hemlockhitch_router::SessionKey;
use tokio::time::sleep;

/// Where the key lies in the store.
const KEY: &str = "session/key";

/// The pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Reads the key, or creates it when there is none; waits while the store is
/// down.
pub(super) async fn load_or_create(store: &impl KeyValue) -> SessionKey {
    loop {
        match try_once(store).await {
            Ok(secret) => return SessionKey::new(secret),
            Err(error) => {
                tracing::warn!(event = "HH0907", %error, "session key not read yet");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn try_once(store: &impl KeyValue) -> Result<String, KeyValueError> {
    if let Some(entry) = store.get(KEY).await? {
        return Ok(entry.value);
    }
    let secret = random_secret();
    match store.swap(Swap::create(KEY, secret.clone())).await? {
        SwapOutcome::Written(_) => Ok(secret),
        SwapOutcome::Conflict(present) => Ok(present.map_or(secret, |entry| entry.value)),
    }
}

/// Draws a secret of 256 bits from the operating system's randomness.
fn random_secret() -> String {
    let mut secret = [0_u8; 32];
    getrandom::fill(&mut secret).unwrap_or_else(|error| {
        panic!("the operating system gives no randomness: {error}");
    });
    secret.iter().map(|byte| format!("{byte:02x}")).collect()
}
