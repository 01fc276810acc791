#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, and what plays the cases.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2 ./review/_two
