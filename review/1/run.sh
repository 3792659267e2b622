#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review/LaterServiceCase.class ] || [ ! -f target/edge/ragwortpitch-edge.jar ]; then
  echo "could not run: build with the deploy file's build command and review/build.sh first"
  exit 2
fi
command -v java >/dev/null || exit 2
exec java -Xmx256m -cp target/review LaterServiceCase review/1
