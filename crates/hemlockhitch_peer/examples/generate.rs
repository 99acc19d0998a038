//! Generates the code of `proto/peer.proto` into `src/gen`.
//!
//! Run it after a change of the protocol:
//! `cargo run -p hemlockhitch_peer --example generate`.

use std::error::Error;
use std::path::Path;

#[path = "support/generator.rs"]
mod generator;

fn main() -> Result<(), Box<dyn Error>> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    generator::generate(package, "peer.proto", &package.join("src/gen"))
}
