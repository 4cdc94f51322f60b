#!/bin/sh
# Builds the stand-ins of the second review: clients, endpoints, links, discovery and the platform are one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin2 ./review/standin2
