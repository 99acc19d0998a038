//! Execution of the subcommands.

mod availability;
mod change;
mod roll_out;
mod sheet;
mod view;

use std::io::Write;

use crate::args::{Command, Invocation};
use crate::client::AdminClient;
use crate::error::CtlError;

/// Runs a command and writes its result to `out`.
pub(crate) async fn run(invocation: &Invocation, out: &mut impl Write) -> Result<(), CtlError> {
    match &invocation.command {
        Command::SheetCheck(file) => sheet::check(file, out),
        Command::ProgramVersion => {
            writeln!(out, "hemlockhitchctl {}", env!("CARGO_PKG_VERSION"))?;
            Ok(())
        }
        command => {
            let client = AdminClient::new(invocation)?;
            run_against_node(command, &client, invocation, out).await
        }
    }
}

async fn run_against_node(
    command: &Command,
    client: &AdminClient,
    invocation: &Invocation,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    let json = invocation.json;
    match command {
        Command::SheetDiff(file) => sheet::diff(file, client, json, out).await,
        Command::SheetApply { file, remove_most } => {
            sheet::apply(file, *remove_most, client, invocation, out).await
        }
        Command::Show { csv } => view::show(client, *csv, json, out).await,
        Command::History { after } => view::history(client, *after, json, out).await,
        Command::Status => view::status(client, json, out).await,
        Command::Progress { generation } => view::progress(client, *generation, json, out).await,
        Command::Explain { request } => view::explain(client, *request, json, out).await,
        Command::Deferred => view::deferred(client, json, out).await,
        Command::Version { .. }
        | Command::RollOut { .. }
        | Command::DataCentre { .. }
        | Command::Endpoint { .. } => {
            let configuration = client.configuration().await?;
            let edits = match command {
                Command::RollOut { to, step } => roll_out::edits(&configuration, to, step)?,
                _ => availability::edits(&configuration, command)?,
            };
            change::submit(&configuration, edits, client, invocation, out).await
        }
        Command::SheetCheck(_) | Command::ProgramVersion => Ok(()),
    }
}
