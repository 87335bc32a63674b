#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 0, 1 or 2.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
