#!/usr/bin/env bash
# Checks the structural rules of the code: goroutines and channels only where allowed, no sleep or yield
# instead of a blocking wait, platform names only in platform/ and its stand-in, typed errors, file length
# and the size of platform/. It also prints the share of tests.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0

sources() {
  git ls-files --cached --others --exclude-standard '*.go' | grep -v -e '_test\.go$' -e '\.pb\.go$'
}

# forbid TITLE PATTERN EXEMPT fails the check, under TITLE, for source lines that match PATTERN but not EXEMPT.
forbid() {
  local found
  found=$(sources | xargs grep -HnE "$2" | grep -vE "$3" || true)
  if [ -n "$found" ]; then
    failed=1
    printf 'shape: %s:\n%s\n' "$1" "$found"
  fi
}

forbid 'go statement outside lib/duty and lib/ring' '^[[:space:]]*go (func|[a-zA-Z_.]+\()' '^lib/(duty|ring)/|:[[:space:]]*//'
forbid 'unbuffered data channel outside lib/duty and lib/ring' 'make\(chan [^,)]*\)' '^lib/(duty|ring)/|struct\{\}|os\.Signal'
forbid 'sleep or yield instead of a blocking wait' 'time\.Sleep\(|runtime\.Gosched\(' ':[0-9]+:[[:space:]]*//'
forbid 'name of the platform outside platform/ and its stand-in' 'X-Response-Signature|X-Request-Not-Run|X-Expect-Instance|log-append|log-newest|api/lots|api/order|kv-events|DOTTERELMOUNT_NODE_FILE' '^(standin/)?platform/'
forbid 'untyped error' 'errors\.New\(|fmt\.Errorf\("[^%]*"\)' ':[0-9]+:[[:space:]]*//'

MAX_LINES=500
long=$(sources | xargs wc -l | awk -v m="$MAX_LINES" '$2 != "total" && $1 > m {print $2 ": " $1 " lines"}')
if [ -n "$long" ]; then failed=1; printf 'shape: file longer than %s lines:\n%s\n' "$MAX_LINES" "$long"; fi

code=$(sources | xargs cat | wc -l)
tests=$(git ls-files --cached --others --exclude-standard '*_test.go' | xargs cat | wc -l)
echo "shape: tests are $((100 * tests / (code + tests)))% of $((code + tests)) hand-written lines"

MAX_PLATFORM_LINES=2500
platform=$(sources | grep '^platform/' | xargs cat | wc -l)
echo "shape: platform/ has $platform lines (at most $MAX_PLATFORM_LINES)"
[ "$platform" -le "$MAX_PLATFORM_LINES" ] || failed=1
exit "$failed"
