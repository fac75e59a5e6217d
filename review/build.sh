#!/bin/sh
# Builds the stand-ins of the cases: one program without dependencies, in a module of its own.
set -eu
cd "$(dirname "$0")/stand"
mkdir -p ../bin
GOFLAGS= GOWORK=off CGO_ENABLED=0 go build -o ../bin/stand .
