//! Mixed load of the demo.

use std::time::{Duration, Instant};

use hemlockhitch_model::Class;
use hemlockhitch_standin::caller::{Caller, ChatRequest};
use hemlockhitch_standin::engine::expected_answer;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Organisations that send requests.
const ORGANISATIONS: [&str; 4] = ["leicester", "derby", "coventry", "lincoln"];

/// Number of rounds; in each round every organisation sends one request of each kind.
const ROUNDS: usize = 25;

/// Interval between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(120);

/// Tokens of a complete answer of the stand-in engine.
const ANSWER_TOKENS: u32 = 16;

/// Maximum number of attempts of one request; a refused or failed attempt is repeated.
const MAX_ATTEMPTS: usize = 20;

/// Delay before the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Organisation that sent the request.
    pub organisation: &'static str,
    /// Version that answered, or name of the service or the requested model.
    pub ran_on: String,
    /// Whether the answer is complete and correct.
    pub complete: bool,
    /// Whether the request is to be billed; a repeated hold is not.
    pub billable: bool,
    /// Time to the first token or to the complete response, in milliseconds.
    pub latency_ms: f64,
    /// Error of the last attempt, if every attempt failed.
    pub error: Option<String>,
}

/// Load generator that runs in the background.
pub struct Load {
    requests: JoinSet<Vec<Outcome>>,
}

impl Load {
    /// Starts sending requests to the nodes at `addresses`.
    pub fn start(addresses: &[String]) -> Self {
        let mut requests = JoinSet::new();
        for (index, organisation) in ORGANISATIONS.into_iter().enumerate() {
            let callers: Vec<Caller> = addresses
                .iter()
                .map(|address| Caller::new(address, format!("sample-{organisation}")))
                .collect();
            requests.spawn(send_rounds(organisation, callers, index));
        }
        Self { requests }
    }

    /// Waits until every request has ended and returns the results.
    pub async fn finish(self) -> Vec<Outcome> {
        self.requests
            .join_all()
            .await
            .into_iter()
            .flatten()
            .collect()
    }
}

async fn send_rounds(
    organisation: &'static str,
    callers: Vec<Caller>,
    offset: usize,
) -> Vec<Outcome> {
    let mut requests = JoinSet::new();
    for round in 0..ROUNDS {
        let caller = callers[(round + offset) % callers.len()].clone();
        let other = callers[(round + offset + 1) % callers.len()].clone();
        requests.spawn(send_chat(organisation, caller.clone(), round, true));
        requests.spawn(send_chat(organisation, caller.clone(), round, false));
        requests.spawn(send_hold_twice(organisation, caller, other, round));
        sleep(ROUND_INTERVAL).await;
    }
    requests.join_all().await.into_iter().flatten().collect()
}

async fn send_chat(
    organisation: &'static str,
    caller: Caller,
    round: usize,
    stream: bool,
) -> Vec<Outcome> {
    let prompt = format!("pull list of week {round} for {organisation}, streamed {stream}");
    let mut request = ChatRequest::new("pull-small", prompt).class(Class::Chat);
    request.stream = stream;
    let mut last_error = "every attempt was refused".to_owned();
    for _ in 0..MAX_ATTEMPTS {
        match caller.chat(&request).await {
            Ok(reply) if reply.complete => {
                let expected =
                    expected_answer(reply.version.as_str(), &request.prompt, ANSWER_TOKENS);
                return vec![Outcome {
                    organisation,
                    ran_on: reply.version,
                    complete: reply.text == expected,
                    billable: true,
                    latency_ms: reply.first_token_ms,
                    error: None,
                }];
            }
            Ok(reply) => last_error = format!("{} {:?}", reply.status, reply.refusal),
            Err(error) => last_error = error.to_string(),
        }
        sleep(RETRY_DELAY).await;
    }
    vec![failed_outcome(organisation, "pull-small", last_error)]
}

/// Sends a hold and repeats it through another node, with the same idempotency key.
async fn send_hold_twice(
    organisation: &'static str,
    caller: Caller,
    other: Caller,
    round: usize,
) -> Vec<Outcome> {
    let key = format!("{organisation}-hold-{round}");
    let first = send_hold(organisation, &caller, &key, true).await;
    let repeat = send_hold(organisation, &other, &key, false).await;
    vec![first, repeat]
}

async fn send_hold(
    organisation: &'static str,
    caller: &Caller,
    key: &str,
    billable: bool,
) -> Outcome {
    let mut last_error = "every attempt was refused".to_owned();
    for _ in 0..MAX_ATTEMPTS {
        let started = Instant::now();
        let reply = caller
            .call(Method::POST, "pull-app/holds", Some(key), key)
            .await;
        match reply {
            Ok(reply) if reply.status == 200 => {
                return Outcome {
                    organisation,
                    ran_on: "pull-app".to_owned(),
                    complete: true,
                    billable,
                    latency_ms: started.elapsed().as_secs_f64() * 1_000.0,
                    error: None,
                };
            }
            Ok(reply) => last_error = format!("{} {}", reply.status, reply.body),
            Err(error) => last_error = error.to_string(),
        }
        sleep(RETRY_DELAY).await;
    }
    failed_outcome(organisation, "pull-app", last_error)
}

fn failed_outcome(organisation: &'static str, ran_on: &str, error: String) -> Outcome {
    Outcome {
        organisation,
        ran_on: ran_on.to_owned(),
        complete: false,
        billable: false,
        latency_ms: 0.0,
        error: Some(error),
    }
}
