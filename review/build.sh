#!/bin/sh
# Builds the stand-ins and the driver of the scripts, with the libraries of the project only.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
