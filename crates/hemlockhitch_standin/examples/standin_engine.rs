//! Runs the engine stand-in in a separate process.

use std::error::Error;
use std::future::pending;
use std::io::{Write, stdout};
use std::net::SocketAddr;
use std::str::FromStr;

use getopts::{Matches, Options};
use hemlockhitch_standin::engine::{self, EngineFault, EngineSettings};

/// Result whose error ends the process.
type ExampleResult<T> = Result<T, Box<dyn Error>>;

fn options() -> Options {
    let mut options = Options::new();
    options
        .optflag("h", "help", "print this help")
        .optopt(
            "",
            "listen",
            "address to listen on, default 127.0.0.1:0",
            "IP:PORT",
        )
        .optmulti(
            "",
            "version",
            "version to serve, default all; may be repeated",
            "NAME",
        )
        .optopt("", "warm-limit", "concurrent requests when warm", "COUNT")
        .optopt(
            "",
            "cold-limit",
            "concurrent requests during a cold start",
            "COUNT",
        )
        .optopt("", "cold-start-ms", "duration of a cold start", "MS")
        .optopt("", "token-ms", "time per token", "MS")
        .optopt("", "prefill-ms", "prefill time for 1,000 characters", "MS")
        .optopt(
            "",
            "batch-slowdown-ratio",
            "slowdown per further request",
            "RATIO",
        )
        .optopt("", "load-lag-ms", "age of load reports", "MS")
        .optopt("", "answer-tokens", "maximum tokens of an answer", "COUNT")
        .optflag(
            "",
            "ignore-fencing",
            "apply orders with a stale fencing number too",
        )
        .optmulti(
            "",
            "fault",
            "fault to inject at the start; may be repeated",
            "JSON",
        );
    options
}

fn settings(matches: &Matches) -> ExampleResult<EngineSettings> {
    let default = EngineSettings::new();
    Ok(EngineSettings::new()
        .versions(matches.opt_strs("version"))
        .warm_limit(value_or(matches, "warm-limit", default.warm_limit)?)
        .cold_limit(value_or(matches, "cold-limit", default.cold_limit)?)
        .cold_start_ms(value_or(matches, "cold-start-ms", default.cold_start_ms)?)
        .token_ms(value_or(matches, "token-ms", default.token_ms)?)
        .prefill_ms(value_or(matches, "prefill-ms", default.prefill_ms)?)
        .batch_slowdown_ratio(value_or(matches, "batch-slowdown-ratio", 0.0)?)
        .load_lag_ms(value_or(matches, "load-lag-ms", default.load_lag_ms)?)
        .answer_tokens(value_or(matches, "answer-tokens", default.answer_tokens)?)
        .checks_fencing(!matches.opt_present("ignore-fencing")))
}

fn value_or<T>(matches: &Matches, name: &str, default: T) -> ExampleResult<T>
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
async fn main() -> ExampleResult<()> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("standin_engine [OPTIONS]"));
        return Ok(());
    }
    let listen: SocketAddr = value_or(&matches, "listen", SocketAddr::from(([127, 0, 0, 1], 0)))?;
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
