#!/bin/sh
# Builds the stand-ins that the cases start, from the standard library alone. The deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
