//! Generates the code of `proto/feed.proto` in `src/gen`.
//!
//! Run it from the package's directory after a change of the protocol:
//! `cargo run -p hemlockhitch_gateway --example generate_feed`.

use std::error::Error;
use std::path::Path;

#[path = "../../hemlockhitch_peer/examples/support/generator.rs"]
mod generator;

fn main() -> Result<(), Box<dyn Error>> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    generator::generate(package, "feed.proto", &package.join("src/gen"))
}
