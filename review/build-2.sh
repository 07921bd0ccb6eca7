#!/usr/bin/env bash
# Builds what the scripts of the second review (cases 6 to 10) start beside the programs of the deploy file: one program for
# each case, which holds its stand-ins. Standard library only, no network. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for case in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$case/case.rs" ] || continue
  rustc --edition 2024 -O -A dead_code -o "$out/case-${case##*/}" "$case/case.rs"
done
