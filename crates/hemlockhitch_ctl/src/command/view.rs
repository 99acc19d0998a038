//! Read-only views of a node's state.

use std::io::Write;

use hemlockhitch_config::admin::{
    DEFERRED_PATH, DeferredStatus, Explanation, Progress, REQUESTS_PATH, STATUS_PATH, Status,
    history_path, progress_path,
};
use hemlockhitch_config::{NumberedChange, Sheet};
use hemlockhitch_model::RequestId;

use crate::client::AdminClient;
use crate::error::CtlError;
use crate::print;

/// Number of generations that the history goes back if `--after` is not given.
const DEFAULT_HISTORY_LENGTH: u64 = 20;

pub(super) async fn show(
    client: &AdminClient,
    csv: bool,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    let configuration = client.configuration().await?;
    if json {
        return print::json(&configuration, out);
    }
    if csv {
        write!(
            out,
            "{}",
            Sheet::from_configuration(&configuration).to_csv()
        )?;
        return Ok(());
    }
    write!(out, "{}", print::configuration(&configuration))?;
    Ok(())
}

pub(super) async fn history(
    client: &AdminClient,
    after: Option<u64>,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    let after = match after {
        Some(after) => after,
        None => latest_generation(client)
            .await?
            .saturating_sub(DEFAULT_HISTORY_LENGTH),
    };
    let changes = changes_after(client, after).await?;
    if json {
        return print::json(&changes, out);
    }
    write!(out, "{}", print::history(&changes))?;
    Ok(())
}

/// Fetches all changes after a generation, page by page.
async fn changes_after(client: &AdminClient, after: u64) -> Result<Vec<NumberedChange>, CtlError> {
    let mut changes: Vec<NumberedChange> = Vec::new();
    loop {
        let last_generation = changes.last().map_or(after, |last| last.generation);
        let page: Vec<NumberedChange> = client.get(&history_path(last_generation)).await?;
        if page
            .last()
            .is_none_or(|last| last.generation <= last_generation)
        {
            return Ok(changes);
        }
        changes.extend(page);
    }
}

async fn latest_generation(client: &AdminClient) -> Result<u64, CtlError> {
    let status: Status = client.get(STATUS_PATH).await?;
    Ok(status.generation)
}

pub(super) async fn status(
    client: &AdminClient,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    let status: Status = client.get(STATUS_PATH).await?;
    if json {
        return print::json(&status, out);
    }
    write!(out, "{}", print::status(&status))?;
    Ok(())
}

pub(super) async fn progress(
    client: &AdminClient,
    generation: u64,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    let progress: Progress = client.get(&progress_path(generation)).await?;
    if json {
        return print::json(&progress, out);
    }
    writeln!(out, "{}", print::progress_line(&progress))?;
    Ok(())
}

pub(super) async fn explain(
    client: &AdminClient,
    request: RequestId,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    let path = format!("{REQUESTS_PATH}/{request}");
    let explanation: Explanation = client.get(&path).await?;
    if json {
        return print::json(&explanation, out);
    }
    write!(out, "{}", print::explanation(&explanation))?;
    Ok(())
}

pub(super) async fn deferred(
    client: &AdminClient,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    let deferred: Vec<DeferredStatus> = client.get(DEFERRED_PATH).await?;
    if json {
        return print::json(&deferred, out);
    }
    write!(out, "{}", print::deferred(&deferred))?;
    Ok(())
}
