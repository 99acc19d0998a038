#!/bin/sh
# Builds what the scripts of review/6 and later start, besides the gateway of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
