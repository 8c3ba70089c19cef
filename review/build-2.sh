#!/usr/bin/env bash
# Builds the cases 6 and later, each with the stand-ins that it starts, under target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.rs; do
    number=$(basename "$(dirname "$source")")
    if [ "$number" -ge 6 ]; then
        rustc --edition 2024 -O -o "target/review-2/case-$number" "$source"
    fi
done
