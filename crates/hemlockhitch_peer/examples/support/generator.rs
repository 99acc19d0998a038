//! Code generator for the protocols between nodes.

use std::error::Error;
use std::path::Path;

/// Generates the code of `proto`, a file in the `proto` directory of `package`, into
/// `output`.
pub fn generate(package: &Path, proto: &str, output: &Path) -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile([proto], [package.join("proto")])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(output)
        .compile_fds(descriptors)?;
    Ok(())
}
