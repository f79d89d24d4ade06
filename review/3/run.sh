#!/usr/bin/env bash
# Plays case 3. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Build first: the build of the deploy file, then review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/merlinsaddle ] || [ ! -x target/review/world ]; then
    echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
    exit 2
fi
timeout -k 2 110 target/review/world line-breaks review/3/record.txt
code=$?
grep -E "verdict|failed" review/3/record.txt
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
