#!/usr/bin/env bash
# Builds the stand-ins and the cases; needs a JDK only. The gateway is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-parts
javac -d target/review-parts review/parts/*.java
mkdir -p target/review-more
javac -d target/review-more review/more/standin/*.java
