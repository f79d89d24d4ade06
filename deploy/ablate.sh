#!/usr/bin/env bash
# Plays days with one mechanism off at a time.
#
#   deploy/ablate.sh BENCH OUT MECHANISM... -- SITE DAY SEED [SITE DAY SEED]...
#
# BENCH: the users' bench. OUT: a folder for a copy of this tree and for the reports. MECHANISM: a name of
# `without` in the gateway's settings, or `none` for all on. Up to JOBS (default 4) plays at once. The copy
# is built once, as only its settings change; its journal entries are left in OUT/tree/journal.
set -eu
bench=$(realpath "$1"); out=$(realpath -m "$2"); shift 2
mechanisms=()
while [ "$1" != -- ]; do mechanisms+=("$1"); shift; done
shift
tree=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$out"
[ -d "$out/tree" ] || git clone -q "$tree" "$out/tree"
cd "$out/tree"
cargo build --release --locked -q
settings=deploy/settings.json.in
cp "$settings" "$out/settings.whole"

play() {
  why="ablation: without $2"
  [ "$2" = none ] && why="ablation: all mechanisms on"
  report=$1/$2-$(basename "$3" .toml)-$4-$5.txt
  "$bench" run "$3" "$4" --seed "$5" --jobs 1 --why "$why" >"$report" 2>&1 || true
  worth=$(awk -v day="$4" '$1 == day && $2 ~ /\// { print $4 }' "$report")
  echo "$2 $(basename "$3" .toml) $4 $5 ${worth:-none}"
}
export -f play
export bench
for mechanism in "${mechanisms[@]}"; do
  cp "$out/settings.whole" "$settings"
  if [ "$mechanism" != none ]; then
    sed -i "s/^  \"instance\"/  \"without\": [\"$mechanism\"],\n  \"instance\"/" "$settings"
  fi
  # The arguments that are left come in threes; sites are given by their full path.
  printf '%s\0' "$@" | xargs -0 -n 3 -P "${JOBS:-4}" bash -c 'play "$@"' play "$out" "$mechanism"
done
cp "$out/settings.whole" "$settings"
