//! The committed code of the protocol is the generator's current output.

use std::fs;
use std::path::Path;

#[path = "../../hemlockhitch_peer/examples/support/generator.rs"]
mod generator;

#[test]
fn generated_code_is_current() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let output = std::env::temp_dir().join(format!("feed-generated-{}", std::process::id()));
    fs::create_dir_all(&output).unwrap();
    generator::generate(package, "feed.proto", &output).unwrap();
    let file = "hemlockhitch.feed.rs";
    let generated = fs::read_to_string(output.join(file)).unwrap();
    let committed = fs::read_to_string(package.join("src/gen").join(file)).unwrap();
    fs::remove_dir_all(&output).unwrap();
    assert_eq!(generated, committed, "run the example `generate_feed`");
}
