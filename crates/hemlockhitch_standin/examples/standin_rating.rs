//! Runs the rating service stand-in in a separate process.

use std::process::ExitCode;

use hemlockhitch_standin::command_line::{self, CommandLineError};
use hemlockhitch_standin::rating::{self, RatingSettings};

#[tokio::main]
async fn main() -> ExitCode {
    command_line::exit_code(run().await)
}

async fn run() -> Result<(), CommandLineError> {
    let mut options = command_line::options();
    options.optmulti(
        "",
        "quality",
        "set a version's quality; may be repeated",
        "VERSION=RATIO",
    );
    options.optopt(
        "",
        "spread",
        "maximum deviation of ratings from the mean",
        "RATIO",
    );
    options.optopt(
        "",
        "missing",
        "fraction of requests without a rating",
        "RATIO",
    );
    options.optopt("", "delay-ms", "delay each request", "MS");
    options.optflag("", "down", "abort every connection");
    let Some(matches) = command_line::parse(&options, std::env::args())? else {
        return Ok(());
    };
    let settings = RatingSettings {
        versions: command_line::values(&matches, "quality")?,
        spread_ratio: command_line::ratio_or_zero(&matches, "spread")?,
        missing_ratio: command_line::ratio_or_zero(&matches, "missing")?,
        delay_ms: command_line::value_or_default(&matches, "delay-ms")?,
        down: matches.opt_present("down"),
        ..RatingSettings::default()
    };
    let service = rating::start(command_line::address(&matches)?, settings).await?;
    command_line::serve(service.address()).await
}
