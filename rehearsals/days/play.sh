#!/usr/bin/env bash
# play.sh F SITE DIR [JOBS]: plays every day of a folder on the users' bench, JOBS at a time (default 6), and sums up.
#
#   F     the bench's program            SITE  a site file            DIR   a folder of days (*.toml)
#
# Of the folder it plays the days whose traffic comes from the site's zones. Days with -five in their names are for a site file
# with five in its name (five core machines, two may be lost); on such a site only these are played, if there are any.
#
#   RUNS=N   each day N times (default 1): thread timing differs from run to run, so a day may break in some only
#   LOG=core --log of each run: the output of machines whose names begin so (default none)
#   NO_CPU=1 processor time isn't counted (default: it is)
#   OUT=DIR  where outputs are kept (default: a folder under the system's temporary one, which is named at the end)
#   WHY=TEXT a line for the journal
#
# Each run leaves an entry in the journal of the repository that it is called from; the entries are committed as written. The
# system is built once, before the first run. Runs at once don't disturb each other's entries.
#
# Exit code: 0 no rule broken, 1 a rule was broken, 2 a day could not be played.
set -euo pipefail
if [ $# -lt 3 ]; then
    sed -n '2,/^set/p' "$0" | sed '$d; s/^# \{0,1\}//' >&2
    exit 2
fi
bench=$1 site=$2 days=$3 jobs=${4:-6}
runs=${RUNS:-1} out=${OUT:-$(mktemp -d)}
why=${WHY:-"piled-up days of $(basename "$days") on $(basename "$site" .toml)"}
mkdir -p "$out"
"$bench" build
play() {
    local bench=$1 site=$2 out=$3 why=$4 day=$5 run=$6 name options=()
    name=$(basename "$day" .toml)-$run
    if [ -n "${LOG:-}" ]; then options+=(--log "$LOG"); fi
    if [ -n "${NO_CPU:-}" ]; then options+=(--no-cpu); fi
    # The output holds the verdict; a broken day's exit code must not stop the others.
    "$bench" run "$site" "$day" --jobs 1 --why "$why" "${options[@]}" > "$out/$name.txt" 2>&1 || true
}
export -f play
fits() {
    local zone
    zone=$(grep -o 'zone = "[^"]*"' <(sed -n '/^traffic/,$p' "$1") | head -n 1)
    if ! sed -n '/^zones/,/^]/p' "$site" | grep -qF "{ name = ${zone#zone = }"; then return 1; fi
    case $(basename "$site"),$(basename "$1") in
        *five*,*-five*) return 0 ;;
        *five*,*) ! compgen -G "$days/*-five*.toml" > /dev/null ;;
        *,*-five*) return 1 ;;
    esac
}
find "$days" -maxdepth 1 -name '*.toml' | sort | while read -r day; do
    if ! fits "$day"; then continue; fi
    for run in $(seq "$runs"); do printf '%s\0%s\0' "$day" "$run"; done
done | xargs -0 -r -n 2 -P "$jobs" bash -c 'play "$@"' play "$bench" "$site" "$out" "$why"

played=0 broken=0 gates=0 lost=0
for file in "$out"/*.txt; do
    name=$(basename "$file" .txt)
    if ! grep -q '^to play it took' "$file"; then
        lost=$((lost + 1))
        echo "not played: $name: $(tail -n 1 "$file")"
        continue
    fi
    played=$((played + 1))
    rules=$(sed -n 's/^rules broken: //p' "$file")
    if [ -n "$rules" ]; then
        broken=$((broken + 1))
        echo "broken: $name: $rules"
        grep -E '^[A-Z]+ at ' "$file" | head -n 3 | sed 's/^/    /'
    fi
    reasons=$(grep -c '^short of the gate' "$file" || true)
    if [ "$reasons" -gt 0 ]; then
        gates=$((gates + 1))
        echo "gate: $name: $(sed -n 's/^short of the gate: //p' "$file" | head -n 1)"
    fi
done
echo "plays: $played, with a broken rule: $broken, gate failed: $gates, not played: $lost; outputs in $out"
if [ "$broken" -gt 0 ]; then exit 1; fi
if [ "$lost" -gt 0 ] || [ "$played" -eq 0 ]; then exit 2; fi
