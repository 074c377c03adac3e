#!/bin/sh
# Prepares the stand-ins of the scripts. They are Python modules of this
# repository and need only the packages that the deploy file installs.
set -e
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo "target/deps is missing: run the build line of deploy/system.toml" >&2
    exit 1
fi
PYTHONPATH=target/deps:. python3 -B -c '
import soak.ports
import review.harness.callers
import review.harness.hosts
import review.harness.site
'
echo "the stand-ins are ready"
