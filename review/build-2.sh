#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. To be run from any folder, after the build of
# deploy/balancer.toml; needs nothing but the JDK.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standin2/*.java
