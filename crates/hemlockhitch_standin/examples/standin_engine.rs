//! Runs the engine stand-in in a process of its own.

use std::error::Error;
use std::future::pending;
use std::io::{Write, stdout};
use std::net::SocketAddr;
use std::str::FromStr;

use getopts::{Matches, Options};
use hemlockhitch_standin::engine::{self, EngineFault, EngineSettings};

/// The result of a step whose error ends the process.
type Outcome<T> = Result<T, Box<dyn Error>>;

fn options() -> Options {
    let mut options = Options::new();
    options
        .optflag("h", "help", "print this help")
        .optopt("", "listen", "address, by default 127.0.0.1:0", "IP:PORT")
        .optmulti("", "version", "a version to serve, by default all", "NAME")
        .optopt("", "warm-limit", "requests at once when warm", "COUNT")
        .optopt("", "cold-limit", "requests at once while cold", "COUNT")
        .optopt("", "cold-start-ms", "length of a cold start", "MS")
        .optopt("", "token-ms", "time between two tokens", "MS")
        .optopt("", "prefill-ms", "time for 1,000 characters", "MS")
        .optopt("", "batch-slowdown-ratio", "slowdown per request", "RATIO")
        .optopt("", "load-lag-ms", "age of load reports", "MS")
        .optopt("", "answer-tokens", "tokens of an answer", "COUNT")
        .optflag("", "ignore-fencing", "carry out old orders too")
        .optmulti("", "fault", "a fault to start with", "JSON");
    options
}

fn settings(matches: &Matches) -> Outcome<EngineSettings> {
    let default = EngineSettings::new();
    Ok(EngineSettings::new()
        .versions(matches.opt_strs("version"))
        .warm_limit(value(matches, "warm-limit", default.warm_limit)?)
        .cold_limit(value(matches, "cold-limit", default.cold_limit)?)
        .cold_start_ms(value(matches, "cold-start-ms", default.cold_start_ms)?)
        .token_ms(value(matches, "token-ms", default.token_ms)?)
        .prefill_ms(value(matches, "prefill-ms", default.prefill_ms)?)
        .batch_slowdown_ratio(value(matches, "batch-slowdown-ratio", 0.0)?)
        .load_lag_ms(value(matches, "load-lag-ms", default.load_lag_ms)?)
        .answer_tokens(value(matches, "answer-tokens", default.answer_tokens)?)
        .checks_orders(!matches.opt_present("ignore-fencing")))
}

fn value<T>(matches: &Matches, name: &str, default: T) -> Outcome<T>
where
    T: FromStr<Err: Error + 'static>,
{
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|error| format!("--{name} {text:?}: {error}; give a number").into())
}

#[tokio::main]
async fn main() -> Outcome<()> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("standin_engine [OPTIONS]"));
        return Ok(());
    }
    let listen: SocketAddr = value(&matches, "listen", SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let engine = engine::start(listen, settings(&matches)?).await?;
    for fault in matches.opt_strs("fault") {
        engine
            .faults()
            .set(serde_json::from_str::<EngineFault>(&fault)?);
    }
    println!("listening on {}", engine.address());
    stdout().flush()?;
    pending().await
}
