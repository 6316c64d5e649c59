#!/usr/bin/env bash
# Builds the stand-ins of the third review; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = common ] || rustc --edition 2024 -O "$source" -o "target/review-3/$name"
done
