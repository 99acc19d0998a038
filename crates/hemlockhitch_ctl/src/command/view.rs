//! Shows what a node knows.

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
        write!(out, "{}", Sheet::of(&configuration).to_csv())?;
        return Ok(());
    }
    write!(out, "{}", print::configuration(&configuration))?;
    Ok(())
}

pub(super) async fn history(
    client: &AdminClient,
    after: u64,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    let changes: Vec<NumberedChange> = client.get(&history_path(after)).await?;
    if json {
        return print::json(&changes, out);
    }
    write!(out, "{}", print::history(&changes))?;
    Ok(())
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
