#!/bin/sh
# A tenant becomes isolated by a change of the configuration; see claim.txt.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../run-case.sh" Wall "$folder"
