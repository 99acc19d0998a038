//! Formats results as text or JSON.

mod table;

use std::fmt::Write as _;
use std::io::Write;

use hemlockhitch_config::admin::{DeferredStatus, Explanation, Progress, Status};
use hemlockhitch_config::sheet::row_cells;
use hemlockhitch_config::{Configuration, NumberedChange, RowEdit};
use hemlockhitch_model::NodeName;
use serde::Serialize;

use crate::error::CtlError;
use table::Table;

/// Maximum number of row keys that the history lists for each change.
const MAX_HISTORY_ROWS: usize = 4;

/// Prints a message as JSON.
pub(crate) fn json(message: &impl Serialize, out: &mut impl Write) -> Result<(), CtlError> {
    let text = serde_json::to_string_pretty(message).map_err(|error| {
        CtlError::bad_input(format!("the result cannot be written as JSON: {error}"))
    })?;
    writeln!(out, "{text}")?;
    Ok(())
}

/// Returns a line that says on how many nodes a generation is in force, and which
/// nodes have not confirmed it.
pub(crate) fn progress_line(progress: &Progress) -> String {
    let generation = progress.generation;
    let in_force = progress.in_force.len();
    if progress.accepted {
        return format!("generation {generation} is accepted, in force on {in_force} nodes");
    }
    let waiting: Vec<&str> = progress.waiting.iter().map(NodeName::as_str).collect();
    format!(
        "generation {generation} is written, in force on {in_force} nodes, not confirmed by {}",
        waiting.join(", ")
    )
}

/// Formats the rows of a configuration, one per line.
pub(crate) fn configuration(configuration: &Configuration) -> String {
    let mut table = Table::new(["row", "generation", "cells"]);
    for (key, versioned) in &configuration.rows {
        let Some(row) = &versioned.row else { continue };
        let cells: Vec<String> = row_cells(row)
            .iter()
            .filter(|cell| cell.column != "kind")
            .map(|cell| format!("{}={}", cell.column, cell.text))
            .collect();
        let generation = versioned.generation.to_string();
        table.add_row([key.to_string(), generation, cells.join(" ")]);
    }
    format!("generation {}\n{table}", configuration.generation)
}

/// Formats changes, one per line.
pub(crate) fn history(changes: &[NumberedChange]) -> String {
    let mut table = Table::new(["generation", "at", "author", "id", "rows"]);
    for numbered in changes {
        let change = &numbered.change;
        table.add_row([
            numbered.generation.to_string(),
            format_time(change.at_unix_ms),
            change.author.clone(),
            change.id.to_string(),
            format_edits(&change.edits),
        ]);
    }
    table.to_string()
}

/// Formats tables of nodes and endpoints, followed by the stopped roll-outs.
pub(crate) fn status(status: &Status) -> String {
    let mut nodes = Table::new(["node", "data centre", "state", "generation", "heard"]);
    for node in &status.nodes {
        nodes.add_row([
            node.name.to_string(),
            node.data_centre.to_string(),
            serialized_name(&node.state),
            node.generation.to_string(),
            format!("{} ms ago", node.age_ms),
        ]);
    }
    let mut endpoints = Table::new([
        "endpoint",
        "service",
        "data centre",
        "state",
        "in flight",
        "limit",
        "report",
        "owner",
    ]);
    for endpoint in &status.endpoints {
        let report = endpoint.report_age_ms;
        endpoints.add_row([
            endpoint.name.to_string(),
            endpoint.service.to_string(),
            endpoint.data_centre.to_string(),
            serialized_name(&endpoint.state),
            endpoint.in_flight.to_string(),
            endpoint.limit.to_string(),
            report.map_or_else(|| "none".to_owned(), |age_ms| format!("{age_ms} ms ago")),
            endpoint
                .owner
                .as_ref()
                .map_or_else(|| "none".to_owned(), ToString::to_string),
        ]);
    }
    let mut text = format!("node {} at generation {}\n", status.node, status.generation);
    let _ = write!(text, "\n{nodes}\n{endpoints}");
    for roll_out in &status.stopped_roll_outs {
        let _ = writeln!(
            text,
            "\nroll-out of {} was stopped at {}: {}; go on with: rollout resume {}",
            roll_out.version,
            format_time(roll_out.at_unix_ms),
            roll_out.reason,
            roll_out.version
        );
    }
    text
}

/// Formats the steps of a request, one per line.
pub(crate) fn explanation(explanation: &Explanation) -> String {
    let mut steps = Table::new(["at", "stage", "version", "endpoint", "reason"]);
    for step in &explanation.steps {
        steps.add_row([
            format_time(step.at_unix_ms),
            serialized_name(&step.stage),
            step.version
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            step.endpoint
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            step.reason.clone(),
        ]);
    }
    format!(
        "request {} of {}, class {}, by node {} at generation {}\n\n{steps}",
        explanation.request,
        explanation.organisation,
        explanation.class,
        explanation.node,
        explanation.generation
    )
}

/// Formats deferred requests, one per line.
pub(crate) fn deferred(deferred: &[DeferredStatus]) -> String {
    let mut table = Table::new([
        "request",
        "organisation",
        "model",
        "state",
        "admitted",
        "deadline",
        "attempts",
    ]);
    for request in deferred {
        table.add_row([
            request.request.to_string(),
            request.organisation.to_string(),
            request
                .model
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            serialized_name(&request.state),
            format_time(request.admitted_unix_ms),
            format_time(request.deadline_unix_ms),
            request.attempts.to_string(),
        ]);
    }
    table.to_string()
}

fn format_edits(edits: &[RowEdit]) -> String {
    let named = edits
        .iter()
        .take(MAX_HISTORY_ROWS)
        .map(|edit| match edit.row {
            Some(_) => edit.key.to_string(),
            None => format!("-{}", edit.key),
        });
    let mut words: Vec<String> = named.collect();
    if edits.len() > MAX_HISTORY_ROWS {
        words.push(format!("and {} more", edits.len() - MAX_HISTORY_ROWS));
    }
    words.join(" ")
}

/// Returns the name that an enum value has in JSON, without quotes.
fn serialized_name(value: &impl Serialize) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    text.trim_matches('"').to_owned()
}

/// Formats a Unix time in milliseconds according to RFC 3339.
fn format_time(unix_ms: u64) -> String {
    hemlockhitch_config::sheet::format_time(unix_ms)
}
