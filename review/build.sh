#!/bin/bash
# Builds the stand-ins of the scripts (review/rig and review/N/*.java) into review/build.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -nowarn -d build $(find rig [0-9]* -name '*.java')
