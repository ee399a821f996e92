#!/usr/bin/env bash
# Plays the case on loopback addresses. Exits with 1 if the rule was broken, with 0 if it held,
# and with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/marjorammoor ] && [ -x target/review-world ] || exit 2
exec target/review-world -scenario store-loss -record "$here/record.txt" -trouble "${TROUBLE:-1}"
