#!/bin/sh
# Builds the stand-ins and cases of the second review (cases 6 to 10) with the packages of the deploy file.
set -e
cd "$(dirname "$0")/bed-2"
mkdir -p build
"${CXX:-g++}" -std=c++17 -O1 -pthread main.cpp -o build/bed
