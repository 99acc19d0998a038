//! Generates the code of the peer protocol.

use std::error::Error;
use std::path::Path;

/// Generates the protocol of the package at `package` into `output`.
pub fn generate(package: &Path, output: &Path) -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["peer.proto"], [package.join("proto")])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(output)
        .compile_fds(descriptors)?;
    Ok(())
}
