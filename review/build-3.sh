#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review into target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for folder in review/11 review/12 review/13 review/14 review/15; do
    [ -f "$folder/main.cpp" ] || continue
    g++ -std=c++20 -O1 -pthread -Ireview/common-3 "$folder/main.cpp" -o "target/review-3/case-${folder##*/}"
done
