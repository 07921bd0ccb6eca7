//! Compiles the schema of the fleet file into a descriptor, so that no protobuf compiler is needed.

use std::path::PathBuf;

use prost::Message;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    let files = protox::compile(["proto/fleet.proto"], ["proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?).join("fleet.bin");
    Ok(std::fs::write(out, files.encode_to_vec())?)
}
