#!/usr/bin/env bash
# Runs this case after the build of the deploy file and review/build-3.sh. TROUBLE=0: without the
# disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review-3/cases ] && [ -x target/release/fuchsiaslipd ] || exit 2
timeout -k 5 110 target/review-3/cases "$(basename "$folder")" "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
