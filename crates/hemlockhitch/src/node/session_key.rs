//! Key of the session tokens, shared by all nodes through the store.

use std::time::Duration;

use hemlockhitch_ports::key_value::{KeyValue, KeyValueError, Swap, SwapOutcome};
use hemlockhitch_router::SessionKey;
use tokio::time::sleep;

/// Store key under which the session key is kept.
const STORE_KEY: &str = "session/key";

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Loads the session key, or creates it if it does not exist; retries until the store
/// answers.
pub(super) async fn load_or_create(store: &impl KeyValue) -> SessionKey {
    loop {
        match try_load_or_create(store).await {
            Ok(secret) => return SessionKey::new(secret),
            Err(error) => {
                tracing::warn!(event = "HH0907", %error, "failed to load or create the session key; retrying");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn try_load_or_create(store: &impl KeyValue) -> Result<String, KeyValueError> {
    if let Some(entry) = store.get(STORE_KEY).await? {
        return Ok(entry.value);
    }
    let secret = random_secret();
    match store.swap(Swap::create(STORE_KEY, secret.clone())).await? {
        SwapOutcome::Written(_) => Ok(secret),
        SwapOutcome::Conflict(present) => Ok(present.map_or(secret, |entry| entry.value)),
    }
}

/// Generates a 256-bit secret, hex-encoded, from the random source of the operating
/// system.
fn random_secret() -> String {
    let mut secret = [0_u8; 32];
    getrandom::fill(&mut secret).unwrap_or_else(|error| {
        panic!("cannot read random bytes from the operating system: {error}");
    });
    secret.iter().map(|byte| format!("{byte:02x}")).collect()
}
