#!/bin/sh
# Builds the stand-in that the scripts of cases 4 to 8 start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/standin-2 ./review/.standin-2
