//! Submits changes and waits until they are in force.

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

/// The pause between two looks at the progress.
const PROGRESS_PAUSE: Duration = Duration::from_millis(250);

/// Submits edits that were made against a configuration.
pub(super) async fn submit(
    configuration: &Configuration,
    edits: Vec<RowEdit>,
    client: &AdminClient,
    invocation: &Invocation,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    if edits.is_empty() {
        return nothing_to_change(configuration.generation, invocation, out);
    }
    let change = Change {
        id: ChangeId::random(),
        base_generation: configuration.generation,
        // The node puts the name of the token's owner here.
        author: String::new(),
        at_unix_ms: SystemClock::new().now().unix_ms,
        edits,
    };
    match client.submit(&change).await? {
        ChangeAnswer::Written { generation } => written(generation, client, invocation, out).await,
        ChangeAnswer::Conflict { generation, rows } => Err(conflict(&change, generation, &rows)),
    }
}

fn nothing_to_change(
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

async fn written(
    generation: u64,
    client: &AdminClient,
    invocation: &Invocation,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    if let Some(wait_ms) = invocation.wait_ms {
        return wait(generation, wait_ms, client, invocation.json, out).await;
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

fn conflict(change: &Change, generation: u64, rows: &[RowKey]) -> CtlError {
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

/// Waits until the generation is accepted, and tells where it is not in force.
async fn wait(
    generation: u64,
    wait_ms: u64,
    client: &AdminClient,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let path = progress_path(generation);
    let mut shown: Option<Vec<NodeName>> = None;
    loop {
        let read = client.get::<Progress>(&path).await;
        let late = Instant::now() >= deadline;
        match read {
            Ok(progress) if progress.accepted => return accepted(&progress, json, out),
            Ok(progress) if late => return Err(not_accepted(&progress)),
            Ok(progress) => {
                if !json && shown.as_ref() != Some(&progress.waiting) {
                    writeln!(out, "{}", print::progress_line(&progress))?;
                    out.flush()?;
                }
                shown = Some(progress.waiting);
            }
            Err(error) if late => return Err(progress_unknown(generation, &error)),
            // A node that was restarted meanwhile may answer again.
            Err(_) => {}
        }
        sleep(PROGRESS_PAUSE).await;
    }
}

fn accepted(progress: &Progress, json: bool, out: &mut impl Write) -> Result<(), CtlError> {
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

fn not_accepted(progress: &Progress) -> CtlError {
    let message = format!(
        "{}; it stays written: see whether these nodes are cut off, and look again with: \
         progress {}",
        print::progress_line(progress),
        progress.generation
    );
    CtlError::new(CtlErrorKind::NotAccepted, message)
}

fn progress_unknown(generation: u64, error: &CtlError) -> CtlError {
    let message = format!(
        "generation {generation} is written, but where it is in force is unknown: {error}; look \
         again with: progress {generation}"
    );
    CtlError::new(CtlErrorKind::NotAccepted, message)
}
