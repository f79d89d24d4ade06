#!/usr/bin/env bash
# Plays days with one mechanism off at a time.
#
#   deploy/ablate.sh BENCH OUT MECHANISM... -- SITE DAY SEED [SITE DAY SEED]...
#
# BENCH: the users' bench. OUT: a folder for copies of this tree and for the reports. MECHANISM: a name
# of `without` in the gateway's settings, or `none` for all on. Up to JOBS (default 4) plays at once.
# Each copy is built by itself, so that this tree can be worked on meanwhile; the journal entries of the
# copies are left in OUT/MECHANISM/journal.
set -eu
bench=$(realpath "$1"); out=$(realpath -m "$2"); shift 2
mechanisms=()
while [ "$1" != -- ]; do mechanisms+=("$1"); shift; done
shift
tree=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$out"
for mechanism in "${mechanisms[@]}"; do
  copy=$out/$mechanism
  if [ ! -d "$copy" ]; then
    git clone -q "$tree" "$copy"
    [ -d "$tree/target/release" ] && mkdir -p "$copy/target" && cp -a "$tree/target/release" "$copy/target/"
  fi
  if [ "$mechanism" != none ]; then
    sed -i "s/^  \"instance\"/  \"without\": [\"$mechanism\"],\n  \"instance\"/" "$copy/deploy/settings.json.in"
  fi
  (cd "$copy" && cargo build --release --locked -q)
done
play() {
  cd "$1/$2"
  why="ablation: without $2"
  [ "$2" = none ] && why="ablation: all mechanisms on"
  report=$1/$2-$(basename "$3" .toml)-$4-$5.txt
  "$bench" run "$3" "$4" --seed "$5" --jobs 1 --why "$why" >"$report" 2>&1 || true
  worth=$(awk -v day="$4" '$1 == day && $2 ~ /\// { print $4 }' "$report")
  echo "$2 $(basename "$3" .toml) $4 $5 ${worth:-none}"
}
export -f play
export bench
# The arguments that are left come in threes, and each three is played with each mechanism.
while [ $# -ge 3 ]; do
  for mechanism in "${mechanisms[@]}"; do
    printf '%s\0%s\0%s\0%s\0%s\0' "$out" "$mechanism" "$(realpath "$1")" "$2" "$3"
  done
  shift 3
done | xargs -0 -n 5 -P "${JOBS:-4}" bash -c 'play "$@"' play
