#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/out/, with the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o out/standin standin/standin.cpp
