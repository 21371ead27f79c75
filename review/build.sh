#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target --target godwit_platform_testing -j8 >/dev/null
mkdir -p target/review
libraries=$(find target -name 'libgodwit_*.a' -o -name 'libstandin_*.a' | sort)
flags=(-std=c++17 -O1 -I. -DBOOST_ALL_DYN_LINK -DBOOST_ERROR_CODE_HEADER_ONLY -Wall -Wextra)
g++ "${flags[@]}" -c review/standins/stage.cpp -o target/review/stage.o
for source in review/standins/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = stage ] && continue
    # shellcheck disable=SC2086
    g++ "${flags[@]}" "$source" target/review/stage.o -o "target/review/$name" \
        -Wl,--start-group $libraries -Wl,--end-group -lboost_context -lboost_thread -lboost_log -lssl -lcrypto -lxxhash \
        -lpthread
done
