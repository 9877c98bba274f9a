#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
#
# Builds the tests of review/6 to review/10 into build/review-2, with the compiler alone. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [[ -e $source ]] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/common-2 "$source" -o "build/review-2/case-$number"
done
