#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
exec bash "$here/../common/run.sh" "$here"
