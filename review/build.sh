#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
#
# Builds the cases of this folder with their stand-ins, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/review/case$number"
done
