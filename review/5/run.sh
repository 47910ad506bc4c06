#!/bin/sh
case=$(cd "$(dirname "$0")" && pwd) && cd "$case/../.." &&
    exec python3 "$case/case.py"
