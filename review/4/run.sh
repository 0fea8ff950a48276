#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. review/build.sh and the build of the deploy file come first.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/out/standin ] && [ -x target/yuccaplankd ] || exit 2
exec review/out/standin late-stops-killed-vm review/4
