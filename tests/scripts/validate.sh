#!/bin/bash
# Runs "poplarbeam validate" on the examples and on faulty documents and
# compares output and exit codes with tests/settings/validate.expected. Guards
# against examples that no longer validate and against messages that lose
# their file, line, path or unit. With --update, rewrites the expected file.
set -u
cd "$(dirname "$0")/../.." || exit 2
tool=${POPLARBEAM:-build/release/poplarbeam}
expected=tests/settings/validate.expected
actual=$(mktemp)
trap 'rm -f "$actual"' EXIT

run_tool() {
	echo "\$ poplarbeam $*"
	"$tool" "$@" 2>&1
	echo "exit $?"
}

faulty=tests/settings/faulty
{
	for fleet in kagawaran klippeark; do
		run_tool validate examples/$fleet/*.yaml
	done
	run_tool validate --json examples/kagawaran/fleet.yaml
	run_tool validate $faulty/fleet.yaml $faulty/maps.yaml $faulty/signs.yaml
	run_tool validate $faulty/broken.yaml
	run_tool validate --json $faulty/broken.yaml
	run_tool validate examples/kagawaran/booking.yaml \
	    examples/klippeark/fleet.yaml
	run_tool validate $faulty/missing.yaml
	run_tool validate
} >"$actual"

if [ "${1:-}" = --update ]; then
	cp "$actual" "$expected"
	exit 0
fi
if ! diff -u "$expected" "$actual"; then
	echo "validate: the output differs from $expected"
	exit 1
fi

# Guards against a key that docs/configuration.md does not describe.
missing=0
for key in $(grep -ohE '\{"[a-z_]+", PB_FIELD_' source/settings/*.c |
    cut -d'"' -f2 | sort -u); do
	if ! grep -q "^| \`$key\` |" docs/configuration.md; then
		echo "docs/configuration.md does not describe $key"
		missing=1
	fi
done
[ "$missing" -eq 0 ] || exit 1
echo "validate: ok"
