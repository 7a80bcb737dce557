#!/usr/bin/env bash
# Builds the programs that play the cases, with the compiler and the libraries of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
objects=()
for source in common/*.cpp; do
    object=bin/$(basename "$source" .cpp).o
    "${CXX:-c++}" -std=c++17 -O1 -pthread -c "$source" -o "$object" &
    objects+=("$object")
done
wait
for source in src/*.cpp; do
    "${CXX:-c++}" -std=c++17 -O1 -pthread "$source" "${objects[@]}" -o "bin/$(basename "$source" .cpp)"
done
