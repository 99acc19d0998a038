//! The mixed load of the demo.

use std::time::{Duration, Instant};

use hemlockhitch_model::Class;
use hemlockhitch_standin::caller::{Caller, ChatAsk};
use hemlockhitch_standin::engine::expected_answer;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The organisations that send requests.
const ORGANISATIONS: [&str; 4] = ["leicester", "derby", "coventry", "lincoln"];

/// Rounds in which every organisation sends one request of each kind.
const ROUNDS: usize = 25;

/// The pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(120);

/// Tokens of a whole answer of the stand-in engine.
const ANSWER_TOKENS: u32 = 16;

/// Tries of one request; a refusal that says "not run" is sent again.
const TRIES: usize = 20;

/// The pause before a refused request is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What came of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The organisation.
    pub organisation: &'static str,
    /// The version that answered, or the service.
    pub ran_on: String,
    /// Whether the answer is whole and right.
    pub whole: bool,
    /// Whether the request is to be billed: not a repeat.
    pub billed: bool,
    /// Milliseconds to the first token or to the answer.
    pub latency_ms: f64,
    /// What went wrong, if anything.
    pub fault: Option<String>,
}

/// A load that runs in the background.
pub struct Load {
    requests: JoinSet<Vec<Outcome>>,
}

impl Load {
    /// Starts the load on nodes at `addresses`.
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

    /// Waits for every request.
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
        requests.spawn(chat(organisation, caller.clone(), round, true));
        requests.spawn(chat(organisation, caller.clone(), round, false));
        requests.spawn(hold_twice(organisation, caller, other, round));
        sleep(ROUND_PAUSE).await;
    }
    requests.join_all().await.into_iter().flatten().collect()
}

async fn chat(
    organisation: &'static str,
    caller: Caller,
    round: usize,
    stream: bool,
) -> Vec<Outcome> {
    let prompt = format!("pull list of week {round} for {organisation}, streamed {stream}");
    let mut ask = ChatAsk::new("pull-small", prompt).class(Class::Chat);
    ask.stream = stream;
    let mut fault = "every try was refused".to_owned();
    for _ in 0..TRIES {
        match caller.chat(&ask).await {
            Ok(reply) if reply.whole => {
                let expected = expected_answer(reply.version.as_str(), &ask.prompt, ANSWER_TOKENS);
                return vec![Outcome {
                    organisation,
                    ran_on: reply.version,
                    whole: reply.text == expected,
                    billed: true,
                    latency_ms: reply.first_token_ms,
                    fault: None,
                }];
            }
            Ok(reply) => fault = format!("{} {:?}", reply.status, reply.refusal),
            Err(error) => fault = error.to_string(),
        }
        sleep(RETRY_PAUSE).await;
    }
    vec![failed(organisation, "pull-small", fault)]
}

/// Sends a hold and repeats it through another node.
async fn hold_twice(
    organisation: &'static str,
    caller: Caller,
    other: Caller,
    round: usize,
) -> Vec<Outcome> {
    let key = format!("{organisation}-hold-{round}");
    let first = hold(organisation, &caller, &key, true).await;
    let again = hold(organisation, &other, &key, false).await;
    vec![first, again]
}

async fn hold(organisation: &'static str, caller: &Caller, key: &str, billed: bool) -> Outcome {
    let mut fault = "every try was refused".to_owned();
    for _ in 0..TRIES {
        let started = Instant::now();
        let reply = caller
            .call(Method::POST, "pull-app/holds", Some(key), key)
            .await;
        match reply {
            Ok(reply) if reply.status == 200 => {
                return Outcome {
                    organisation,
                    ran_on: "pull-app".to_owned(),
                    whole: true,
                    billed,
                    latency_ms: started.elapsed().as_secs_f64() * 1_000.0,
                    fault: None,
                };
            }
            Ok(reply) => fault = format!("{} {}", reply.status, reply.body),
            Err(error) => fault = error.to_string(),
        }
        sleep(RETRY_PAUSE).await;
    }
    failed(organisation, "pull-app", fault)
}

fn failed(organisation: &'static str, ran_on: &str, fault: String) -> Outcome {
    Outcome {
        organisation,
        ran_on: ran_on.to_owned(),
        whole: false,
        billed: false,
        latency_ms: 0.0,
        fault: Some(fault),
    }
}
