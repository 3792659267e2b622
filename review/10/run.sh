#!/bin/sh
exec sh "$(dirname "$0")/../standin-2/run-case.sh" quota "$(cd "$(dirname "$0")" && pwd)"
