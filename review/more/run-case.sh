#!/bin/sh
# Runs a case: run-case.sh CLASS FOLDER. Exits with 0 (held), 1 (broken) or 2 (could not run).
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(dirname "$(dirname "$here")")
if [ ! -f "$root/target/bergamothoist-gateway.jar" ] || [ ! -f "$root/target/review-more/$1.class" ]; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
java -Xmx1500m -cp "$root/target/review-more" "$1" "$root" "$2/record.txt"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
