#!/bin/sh
# Requests that crash servers share a part with harmless ones; see notes.txt.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../run-case.sh" CommonPart "$folder"
