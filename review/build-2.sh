#!/bin/sh
# Builds the stand-ins and scenarios of the second review, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -D warnings -o target/review-2/case review/common-2/main.rs
