#!/usr/bin/env bash
# Plays the case. Exit status 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/bin/fescuecleat-poold ] || [ ! -x "$here/play" ]; then
    echo "build the deploy file and review/build.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
timeout -k 1 118 "$here/play" target/bin/fescuecleat-poold "$folder" "$here/record.txt" "${TROUBLE:-1}"
status=$?
{
    echo "exit status $status; the last lines of the instances' logs:"
    tail -q -n 2 "$folder"/*.log
} >>"$here/record.txt"
rm -rf "$folder"
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
