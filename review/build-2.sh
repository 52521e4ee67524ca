#!/usr/bin/env bash
# Builds what the scripts of review/4 and later start: the daemon, as deploy/system.toml has it. Their
# stand-ins are Python of the standard library and need no build; it is checked that they compile.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cargo build --release --locked --bin fuchsiaslipd
for source in review/[4-8]/*.py; do
    [ -e "$source" ] || continue
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source"
done
