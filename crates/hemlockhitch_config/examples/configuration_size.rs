//! Measures the size of a configuration of full size in memory and as JSON.

#[path = "../benches/support/mod.rs"]
mod support;

use std::fs;

use hemlockhitch_config::configuration::Row;
use hemlockhitch_config::{Configuration, RoutingTable};

use support::{change, endpoint, full_size_rows};

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let initial_change = change(full_size_rows());
    let one_row = change([Row::Endpoint(endpoint(0))]);
    let mut applied = Configuration::default();
    applied.apply(&initial_change);
    // A deserialised configuration shares no memory with `applied`.
    let snapshot = serde_json::to_string(&applied)?;
    let before_bytes = resident_bytes()?;
    let configuration: Configuration = serde_json::from_str(&snapshot)?;
    let loaded_bytes = resident_bytes()?;
    let table = RoutingTable::compile(&configuration);
    let compiled_bytes = resident_bytes()?;
    println!(
        "{} rows: configuration {} bytes, routing table of {} endpoints {} bytes resident",
        configuration.rows.len(),
        loaded_bytes.saturating_sub(before_bytes),
        table.endpoints.len(),
        compiled_bytes.saturating_sub(loaded_bytes),
    );
    drop(applied);
    println!("snapshot: {} bytes of JSON", snapshot.len());
    println!(
        "first sheet: {} bytes of JSON",
        json_bytes(&initial_change)?
    );
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
