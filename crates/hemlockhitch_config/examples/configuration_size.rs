//! Measures what a configuration of full size takes in memory and on the wire.

#[path = "../benches/support/mod.rs"]
mod support;

use std::fs;

use hemlockhitch_config::configuration::Row;
use hemlockhitch_config::{Configuration, RoutingTable};

use support::{change, endpoint, rows};

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let whole = change(rows());
    let one_row = change([Row::Endpoint(endpoint(0))]);
    let mut applied = Configuration::default();
    applied.apply(&whole);
    // What is read from the text shares no memory with what is still held here.
    let snapshot = serde_json::to_string(&applied)?;
    let before_bytes = resident_bytes()?;
    let configuration: Configuration = serde_json::from_str(&snapshot)?;
    let configured_bytes = resident_bytes()?;
    let table = RoutingTable::compile(&configuration);
    let compiled_bytes = resident_bytes()?;
    println!(
        "{} rows: configuration {} bytes, routing table of {} endpoints {} bytes resident",
        configuration.rows.len(),
        configured_bytes.saturating_sub(before_bytes),
        table.endpoints.len(),
        compiled_bytes.saturating_sub(configured_bytes),
    );
    drop(applied);
    println!("snapshot: {} bytes of JSON", snapshot.len());
    println!("first sheet: {} bytes of JSON", json_bytes(&whole)?);
    println!(
        "change of one endpoint: {} bytes of JSON",
        json_bytes(&one_row)?
    );
    Ok(())
}

fn json_bytes(message: &impl serde::Serialize) -> Result<usize, serde_json::Error> {
    Ok(serde_json::to_vec(message)?.len())
}

fn resident_bytes() -> Result<u64, Box<dyn std::error::Error>> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).ok_or("no resident pages")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
