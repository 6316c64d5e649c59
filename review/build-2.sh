#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for main in review/{6,7,8,9,10}/main.rs; do
    [ -f "$main" ] || continue
    case=$(basename "$(dirname "$main")")
    rustc --edition 2024 -O -o "target/review-2/case-$case" "$main"
done
