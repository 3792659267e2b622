#!/bin/sh
exec sh "$(dirname "$0")/../standin-2/run-case.sh" header-limit "$(cd "$(dirname "$0")" && pwd)"
