#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
mapfile -t objects < <(find target -name 'libfescuecleat_platform.a'; find target -name 'libfescuecleat_pool.a')
g++ -std=c++17 -O1 -Wall -Wextra \
    -Isrc/libfescuecleat -Iplatform -Isrc/standins -Ireview/bed-3 \
    review/bed-3/bed.cpp review/bed-3/cases.cpp \
    platform/server/callerrequests.cpp platform/server/configurationwriter.cpp platform/server/rowstoreserver.cpp platform/server/workerserver.cpp \
    src/standins/poolmodel/fakerowstore.cpp \
    "${objects[@]}" -lsodium -pthread -o target/review-3/cases
