#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 nothing is
# disrupted. Takes about 31 s.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
driver=target/review/release/review-standins
if [ ! -x "$driver" ] || [ ! -x target/release/celerystand ]; then
    echo "build the program as the deploy file says, then run review/build.sh" >&2
    exit 2
fi
exec "$driver" config "$here"
