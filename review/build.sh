#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
flags="-std=c++20 -O2 -Wall -Wextra -I. -Isrc -Itests"
libraries="$(pkg-config --cflags --libs cpp-httplib) -lfmt -lpthread"
objects=""
for source in tests/stand_ins/prepared_platform.cpp tests/stand_ins/odd_responses.cpp \
    review/stand_ins/case_tools.cpp; do
    object=build-review/$(basename "$source" .cpp).o
    g++ $flags $(pkg-config --cflags cpp-httplib) -c "$source" -o "$object" &
    objects="$objects $object"
done
wait
for source in review/*/case.cpp; do
    n=$(basename "$(dirname "$source")")
    g++ $flags "$source" $objects $libraries -o "build-review/case-$n"
done
