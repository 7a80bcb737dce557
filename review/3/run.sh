#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common/play.sh"
play overdueschedule "$here"
