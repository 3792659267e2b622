#!/bin/sh
# Builds the stand-ins and cases of the scripts, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 --add-modules jdk.httpserver -d target/review review/standin/*.java
