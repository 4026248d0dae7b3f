#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/bergamothoist-gateway.jar ] && [ -d target/review-parts ] || exit 2
exec java -Xmx512m -cp target/review-parts parts.Isolation review/5/record.txt
