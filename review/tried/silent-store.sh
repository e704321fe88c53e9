#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the script could not run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec timeout -k 5 110 python3 silent_store.py
