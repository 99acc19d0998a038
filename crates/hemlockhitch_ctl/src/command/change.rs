//! Submits changes and waits until they are in force on every node.

use std::io::Write;
use std::time::Duration;

use hemlockhitch_config::admin::{ChangeAnswer, Progress, progress_path};
use hemlockhitch_config::{Change, Configuration, RowEdit, RowKey};
use hemlockhitch_model::{ChangeId, Clock, NodeName, SystemClock};
use tokio::time::{Instant, sleep};

use crate::args::Invocation;
use crate::client::AdminClient;
use crate::error::{CtlError, CtlErrorKind};
use crate::print;

/// Interval between two queries of the progress.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Submits edits based on `configuration` and reports the result.
pub(super) async fn submit(
    configuration: &Configuration,
    edits: Vec<RowEdit>,
    client: &AdminClient,
    invocation: &Invocation,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    if edits.is_empty() {
        return print_no_change(configuration.generation, invocation, out);
    }
    let change = Change {
        id: ChangeId::random(),
        base_generation: configuration.generation,
        // The node replaces this with the name of the token's owner.
        author: String::new(),
        at_unix_ms: SystemClock::new().now().unix_ms,
        edits,
    };
    match client.submit(&change).await? {
        ChangeAnswer::Written { generation } => {
            report_written(generation, client, invocation, out).await
        }
        ChangeAnswer::Conflict { generation, rows } => {
            Err(conflict_error(&change, generation, &rows))
        }
    }
}

fn print_no_change(
    generation: u64,
    invocation: &Invocation,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    if invocation.json {
        return print::json(&ChangeAnswer::Written { generation }, out);
    }
    writeln!(out, "nothing to change at generation {generation}")?;
    Ok(())
}

async fn report_written(
    generation: u64,
    client: &AdminClient,
    invocation: &Invocation,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    if let Some(wait_ms) = invocation.wait_ms {
        return wait_until_accepted(generation, wait_ms, client, invocation.json, out).await;
    }
    if invocation.json {
        return print::json(&ChangeAnswer::Written { generation }, out);
    }
    writeln!(
        out,
        "written as generation {generation}; see where it is in force with: progress {generation}"
    )?;
    Ok(())
}

fn conflict_error(change: &Change, generation: u64, rows: &[RowKey]) -> CtlError {
    let rows: Vec<String> = rows.iter().map(|row| format!("  {row}")).collect();
    let message = format!(
        "others changed these rows after generation {} (now {generation}); nothing was changed:\n\
         {}\nsee what they did with: history --after {}; then run the command again",
        change.base_generation,
        rows.join("\n"),
        change.base_generation
    );
    CtlError::new(CtlErrorKind::Conflict, message)
}

/// Polls until the generation is accepted, and prints the nodes that have not
/// confirmed it whenever they change.
async fn wait_until_accepted(
    generation: u64,
    wait_ms: u64,
    client: &AdminClient,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let path = progress_path(generation);
    let mut last_waiting: Option<Vec<NodeName>> = None;
    loop {
        let result = client.get::<Progress>(&path).await;
        let expired = Instant::now() >= deadline;
        match result {
            Ok(progress) if progress.accepted => return print_accepted(&progress, json, out),
            Ok(progress) if expired => return Err(not_accepted_error(&progress)),
            Ok(progress) => {
                if !json && last_waiting.as_ref() != Some(&progress.waiting) {
                    writeln!(out, "{}", print::progress_line(&progress))?;
                    out.flush()?;
                }
                last_waiting = Some(progress.waiting);
            }
            Err(error) if expired => return Err(progress_unknown_error(generation, &error)),
            // The node may be restarting; keep polling until the deadline.
            Err(_) => {}
        }
        sleep(PROGRESS_POLL_INTERVAL).await;
    }
}

fn print_accepted(progress: &Progress, json: bool, out: &mut impl Write) -> Result<(), CtlError> {
    if json {
        return print::json(progress, out);
    }
    writeln!(
        out,
        "generation {} is accepted, in force on {} nodes",
        progress.generation,
        progress.in_force.len()
    )?;
    Ok(())
}

fn not_accepted_error(progress: &Progress) -> CtlError {
    let message = format!(
        "{}; the change stays written: check whether these nodes are reachable, and query again \
         with: progress {}",
        print::progress_line(progress),
        progress.generation
    );
    CtlError::new(CtlErrorKind::NotAccepted, message)
}

fn progress_unknown_error(generation: u64, error: &CtlError) -> CtlError {
    let message = format!(
        "generation {generation} is written, but its progress is unknown: {error}; query again \
         with: progress {generation}"
    );
    CtlError::new(CtlErrorKind::NotAccepted, message)
}
