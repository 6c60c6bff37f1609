#!/usr/bin/env bash
# Prepares what the scripts of review/11 to review/15 start beside the build of the
# deploy file. Their stand-ins and the project's own are Python: nothing is compiled,
# the sources are only checked.
set -eu
cd "$(dirname "$0")/.."
test -x target/cmd/figbend/figbend || {
	echo "target/cmd/figbend/figbend is missing: run the build of deploy/system.toml" >&2
	exit 1
}
for f in test/pools/standins.py test/pools/deployment.py review/bed3.py review/1[1-5]/run.py; do
	[ ! -e "$f" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
done
