#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the daemon of the deploy file. Their stand-ins are
# the Python programs in harness-2, so there is nothing to compile; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.11 or newer is needed" if sys.version_info < (3, 11) else 0)'
python3 -m py_compile harness-2/harness.py
