#!/bin/sh
cd "$(dirname "$0")/../.." && exec python3 review/2/case.py
