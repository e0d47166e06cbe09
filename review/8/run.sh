#!/bin/sh
# Case 8. Run it after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin-2 ] && [ -x target/limehold ] || { echo "could not run: build first"; exit 2; }
exec target/standin-2 ids review/8
