//! Checks that the committed generated code matches `proto/peer.proto`.

use std::fs;
use std::path::Path;

#[path = "../examples/support/generator.rs"]
mod generator;

#[test]
fn generated_code_is_current() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let output = std::env::temp_dir().join(format!("peer-generated-{}", std::process::id()));
    fs::create_dir_all(&output).unwrap();
    generator::generate(package, "peer.proto", &output).unwrap();
    let file = "hemlockhitch.peer.rs";
    let generated = fs::read_to_string(output.join(file)).unwrap();
    let committed = fs::read_to_string(package.join("src/gen").join(file)).unwrap();
    fs::remove_dir_all(&output).unwrap();
    assert_eq!(generated, committed, "run the example `generate`");
}
