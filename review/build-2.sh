#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review; needs a JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-parts-2
javac -d target/review-parts-2 review/parts-2/*.java
