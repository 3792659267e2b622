#!/bin/sh
exec sh "$(dirname "$0")/../standin-2/run-case.sh" late-call "$(cd "$(dirname "$0")" && pwd)"
