#!/bin/sh
# Builds the stand-ins and cases of review/6 to review/10 into target/review-2, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 --release 17 -d target/review-2 review/standin-2/*.java
