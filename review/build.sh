#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
go build -C stand -o ../bin/stand .
