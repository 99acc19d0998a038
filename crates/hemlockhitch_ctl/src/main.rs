//! Entry point of `hemlockhitchctl`.

use std::env;
use std::io;
use std::process::ExitCode;

use hemlockhitch_ctl::{Environment, run};

/// Environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "HEMLOCKHITCH_TOKEN";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let environment = Environment {
        token: env::var(TOKEN_VARIABLE).ok(),
    };
    let arguments = env::args_os().skip(1);
    let arguments = arguments.map(|argument| argument.to_string_lossy().into_owned());
    let exit = run(
        arguments,
        environment,
        &mut io::stdout().lock(),
        &mut io::stderr().lock(),
    )
    .await;
    ExitCode::from(exit)
}
