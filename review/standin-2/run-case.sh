#!/bin/sh
# Runs a case: its name, and the folder that gets record.txt.
cd "$(dirname "$0")/../.." || exit 2
command -v java >/dev/null || exit 2
[ -f target/edge/ragwortpitch-edge.jar ] && [ -d target/review-2 ] || exit 2
case "${TROUBLE:-1}" in 0) trouble=false ;; *) trouble=true ;; esac
exec java -Xmx256m -cp target/review-2 Main "$1" "$PWD" "$2/record.txt" "$trouble"
