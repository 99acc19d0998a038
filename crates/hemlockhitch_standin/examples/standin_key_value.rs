//! Runs the key-value service stand-in in a separate process.

use std::process::ExitCode;

use hemlockhitch_standin::command_line::{self, CommandLineError};
use hemlockhitch_standin::key_value::{self, Faults};

#[tokio::main]
async fn main() -> ExitCode {
    command_line::exit_code(run().await)
}

async fn run() -> Result<(), CommandLineError> {
    let mut options = command_line::options();
    options.optflag("", "down", "abort every connection without effect");
    options.optopt("", "delay-ms", "delay each request", "MS");
    options.optopt(
        "",
        "lost-answers",
        "drop the responses to the next writes",
        "N",
    );
    options.optopt(
        "",
        "lost-prefix",
        "drop the responses to writes with this key prefix",
        "PREFIX",
    );
    let Some(matches) = command_line::parse(&options, std::env::args())? else {
        return Ok(());
    };
    let faults = Faults {
        down: matches.opt_present("down"),
        delay_ms: command_line::value_or_default(&matches, "delay-ms")?,
        lost_answers: command_line::value_or_default(&matches, "lost-answers")?,
        lost_prefix: matches.opt_str("lost-prefix"),
    };
    let service = key_value::start(command_line::address(&matches)?).await?;
    service.faults().set(faults);
    command_line::serve(service.address()).await
}
