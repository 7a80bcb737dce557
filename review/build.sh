#!/usr/bin/env bash
# Builds the program of each case, review/N/play, with the compiler and the libraries of the deploy file.
# common/ holds the stand-ins of store, minions and clients that all of them are built with.
set -euo pipefail
cd "$(dirname "$0")"
objects=$(mktemp -d)
trap 'rm -rf "$objects"' EXIT
for source in common/*.cpp; do
    "${CXX:-c++}" -std=c++17 -O1 -pthread -c "$source" -o "$objects/$(basename "$source" .cpp).o"
done
for source in [1-5]/case.cpp; do
    "${CXX:-c++}" -std=c++17 -O1 -pthread "$source" "$objects"/*.o -o "$(dirname "$source")/play"
done
