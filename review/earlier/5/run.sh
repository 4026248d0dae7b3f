#!/bin/sh
# Daemons are stopped in turn while they send long answers; see claim.txt.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../run-case.sh" SlowReader "$folder"
