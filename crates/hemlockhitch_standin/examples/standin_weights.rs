//! Runs the weight store stand-in in a separate process.

use std::process::ExitCode;

use hemlockhitch_model::VersionName;
use hemlockhitch_standin::command_line::{self, CommandLineError};
use hemlockhitch_standin::weights::{self, WeightsSettings};

#[tokio::main]
async fn main() -> ExitCode {
    command_line::exit_code(run().await)
}

async fn run() -> Result<(), CommandLineError> {
    let mut options = command_line::options();
    options.optopt("", "interval-ms", "mean time between transfers", "MS");
    options.optopt("", "burst", "transfers that may start at once", "N");
    options.optmulti(
        "",
        "missing",
        "version that is missing; may be repeated",
        "VERSION",
    );
    options.optopt("", "delay-ms", "delay each request", "MS");
    options.optflag("", "down", "abort every connection");
    let Some(matches) = command_line::parse(&options, std::env::args())? else {
        return Ok(());
    };
    let missing = matches.opt_strs("missing");
    let settings = WeightsSettings {
        interval_ms: command_line::value_or_default(&matches, "interval-ms")?,
        burst: command_line::value_or_default(&matches, "burst")?,
        missing: missing.into_iter().map(VersionName::from).collect(),
        delay_ms: command_line::value_or_default(&matches, "delay-ms")?,
        down: matches.opt_present("down"),
    };
    let store = weights::start(command_line::address(&matches)?, settings).await?;
    command_line::serve(store.address()).await
}
