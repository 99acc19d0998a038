//! Command line for operators: a client of the administration API.
//!
//! [`run`] parses the arguments, calls the API of one node and returns the [`Exit`]
//! of the process.
//!
//! ```
//! use hemlockhitch_ctl::{Environment, Exit, run};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! let (mut out, mut err) = (Vec::new(), Vec::new());
//! let exit = run(["--help"], Environment::default(), &mut out, &mut err).await;
//! assert_eq!(exit, Exit::Success);
//! # }
//! ```

mod args;
mod client;
mod command;
mod error;
mod exit;
mod print;

pub use error::{CtlError, CtlErrorKind};
pub use exit::Exit;

use std::io::Write;

use args::ParsedArguments;

/// Values that the command line reads from environment variables.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Value of `HEMLOCKHITCH_TOKEN`: the operator's token, used unless
    /// `--token-file` is given.
    pub token: Option<String>,
}

/// Runs one command. `arguments` excludes the program name; results go to `out` and
/// errors to `err`.
pub async fn run(
    arguments: impl IntoIterator<Item = impl Into<String>>,
    environment: Environment,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Exit {
    let arguments: Vec<String> = arguments.into_iter().map(Into::into).collect();
    let result = match args::parse(&arguments, environment) {
        Ok(ParsedArguments::Help(text)) => write!(out, "{text}").map_err(CtlError::from),
        Ok(ParsedArguments::Run(invocation)) => command::run(&invocation, out).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => Exit::Success,
        Err(error) => {
            // A failure to write to standard error cannot be reported anywhere.
            let _ = writeln!(err, "{error}");
            error.exit()
        }
    }
}
