//! The operators' command line: a client of the administration API.
//!
//! [`run`] parses the arguments, talks to one node and returns the [`Exit`] of the
//! process.
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

use args::Parsed;

/// What the command line takes from its environment.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// The operator's token: `HEMLOCKHITCH_TOKEN`.
    pub token: Option<String>,
}

/// Runs one command with the arguments after the program's name.
pub async fn run(
    arguments: impl IntoIterator<Item = impl Into<String>>,
    environment: Environment,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Exit {
    let arguments: Vec<String> = arguments.into_iter().map(Into::into).collect();
    let result = match args::parse(&arguments, environment) {
        Ok(Parsed::Help(text)) => write!(out, "{text}").map_err(CtlError::from),
        Ok(Parsed::Run(invocation)) => command::run(&invocation, out).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => Exit::Success,
        Err(error) => {
            // Nothing is left to do when standard error cannot be written.
            let _ = writeln!(err, "{error}");
            error.exit()
        }
    }
}
