#!/bin/sh
# Builds what the cases of the second review start beside the gateway: stand-ins in Python, which only have to compile.
# Needs the `build` of deploy/balancer.toml to have run, and no network.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m py_compile review/world2.py review/6/case.py review/7/case.py review/8/case.py \
    review/8/bad_clients.py review/9/case.py review/10/case.py review/seen-2/bad_clients.py \
    review/seen-2/restarted_drain.py review/seen-2/stalled_drain.py review/seen-2/stop_flood.py
