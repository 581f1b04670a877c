#!/usr/bin/env bash
# Plays the regression runs: regress.sh BENCH FOLDER, where FOLDER holds the users' site files. The large fleet stands in
# the place of the oldest files, whose fleets are played again by its small twins and by those of the customers after it.
# Each run leaves its entry in journal/; a day with a broken rule is printed.
set -uo pipefail
[ $# -eq 2 ] || { echo "usage: regress.sh BENCH FOLDER" >&2; exit 2; }
bench=$1
folder=$2
cd "$(dirname "$0")/../.."
failed=0

# run VERB SITE ARGUMENTS... prints the lines that say how a run ended.
run() {
  local out
  out=$("$bench" "$@" 2>&1) || failed=1
  grep -E '^GATE|days on|BROKEN|^(quiet|trouble|scale|fresh)-' <<<"$out" | grep -v 'is played'
  grep -qE 'GATE failed|BROKEN' <<<"$out" && failed=1
}

large=$folder/large/inea-tuneles-large.toml
run score "$large" --jobs 3 --why "regression"
run score "$large" --small --jobs 3 --why "regression"
run score "$folder/further/repaven-intake.toml" --why "regression"
run hunt "$large" --days 8 --jobs 3
run hunt "$folder/further/repaven-intake.toml" --days 42
for site in grown/inea-tuneles-grown grown/klv-backup-grown further-grown/repaven-intake-grown; do
  run hunt "$folder/$site.toml" --days 8
done
exit $failed
