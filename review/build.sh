#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/.standin
