#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the router: into target/review-2/, a program a case.
# The router itself comes from the build of the deploy file. Needs g++ and the JSON headers that the router builds with.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
output=../../target/review-2
mkdir -p "$output"
parts=(sockets store router endpoint record site)
jobs=()
for part in "${parts[@]}" ./*_case.cpp; do
    part=$(basename "$part" .cpp)
    g++ -std=c++17 -O1 -Wall -Wextra -I. -c "$part.cpp" -o "$output/$part.o" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
objects=("${parts[@]/#/$output/}")
for case in ./*_case.cpp; do
    case=$(basename "$case" .cpp)
    g++ "$output/$case.o" "${objects[@]/%/.o}" -o "$output/$case" -lpthread
done
