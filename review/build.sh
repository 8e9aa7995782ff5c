#!/bin/sh
# Builds the stand-ins of all cases into review/out. Needs only the JDK; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac --release 17 -Xlint:all -d out standin/*.java
