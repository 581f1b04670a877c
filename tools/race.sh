#!/usr/bin/env bash
# Tests packages with the race detector: race.sh PACKAGE...
# On arm64 the detector itself may crash ("ThreadSanitizer: CHECK failed"), which says nothing of the tests: a package that ended so, without
# a test that failed, is tested again without it. On other machines such a crash fails.
set -uo pipefail
[ "$(go env GOARCH)" = arm64 ] || exec go test -race -timeout 15m "$@"

crashed=$(mktemp) failed=$(mktemp)
trap 'rm -f "$crashed" "$failed"' EXIT
go test -race -timeout 15m "$@" 2>&1 | awk -v crashed="$crashed" -v failed="$failed" '
  /ThreadSanitizer: CHECK failed/ { crash = 1 }
  /--- FAIL|^panic:|DATA RACE|test timed out/ { fail = 1 }
  /^FAIL[ \t]+papayahead/ {
    if (crash && !fail) { print $2 > crashed; print "the race detector crashed in " $2; crash = 0; next }
    print $2 > failed
  }
  /^(ok|FAIL)[ \t]+papayahead/ { crash = 0; fail = 0 }
  { print; fflush() }'
status=${PIPESTATUS[0]}
[ -s "$crashed" ] || exit "$status"

again=0
# shellcheck disable=SC2046 # The names of packages have no spaces.
go test -timeout 15m $(sort -u "$crashed") || again=$?
[ ! -s "$failed" ] || exit "$status"
exit "$again"
