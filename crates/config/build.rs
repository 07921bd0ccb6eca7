//! Compiles the schema of the fleet file into a file descriptor set, so that the build needs no protobuf compiler.

use std::path::PathBuf;

use prost::Message;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    let files = protox::compile(["proto/fleet.proto"], ["proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?).join("fleet.bin");
    Ok(std::fs::write(out, files.encode_to_vec())?)
}
