#!/usr/bin/env bash
# Builds the stand-ins of the cases of the review. Needs the compiler of rust-toolchain.toml, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.rs; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  rustc --edition 2021 -O -o "target/review/case$number" "$case"
done
