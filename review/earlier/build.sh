#!/bin/sh
# Builds the stand-ins and cases that the scripts start. Needs a JDK only.
set -eu
cd "$(dirname "$0")"
out=../target/review
rm -rf "$out"
mkdir -p "$out"
javac -Xlint -d "$out" standin/*.java
