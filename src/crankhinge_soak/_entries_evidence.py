"""Reads what a cluster's logs and engines report after a run of faults."""

from __future__ import annotations

import re
import time
from datetime import datetime
from pathlib import Path

from crankhinge_bench._cluster import Cluster
from crankhinge_bench._procs import http_json
from crankhinge_soak._entries_check import BundleSeen

# Seconds that engines may take to end their last requests.
MEMORY_RELEASE_TIMEOUT_S = 15.0
BUNDLE_IN_FORCE_LINE = re.compile(r"ts=(\S+) .*event=bundle_in_force .*version=(\d+) digest=(\w+)")


def read_drained_count(log: Path) -> int | None:
    """Return how many requests a program had in progress at its last planned stop, from its log.

    Returns None if the log has no ``drained`` event.
    """
    found = re.findall(r"event=drained .*open=(\d+)", log.read_text())
    return int(found[-1]) if found else None


def read_bundles_seen(cluster: Cluster) -> list[BundleSeen]:
    """Return the bundles that were active in each incarnation of each process, from the logs."""
    seen = []
    names = [f"entry-{n}" for n in range(cluster.spec.entries)]
    for name in names + [place.name for place in cluster.agents]:
        run: BundleSeen | None = None
        for line in (cluster.logs / f"{name}.log").read_text().splitlines():
            if "event=started" in line:
                run = BundleSeen(process=name, versions=[])
                seen.append(run)
            match = BUNDLE_IN_FORCE_LINE.search(line)
            if match and run is not None:
                when = datetime.fromisoformat(match[1]).timestamp()
                run.versions.append((when, int(match[2])))
                run.digests[int(match[2])] = match[3]
    return seen


def wait_until_freed(cluster: Cluster) -> dict[str, int]:
    """Wait until no engine has a request, or until a time-out; return the requests left in each."""
    until = time.monotonic() + MEMORY_RELEASE_TIMEOUT_S
    while True:
        held = {}
        for place in cluster.agents:
            if place.kind != "plain":
                stats = http_json("GET", place.backend_port, "/stats")
                held[place.name] = stats["running"] + stats["waiting"]
        if not any(held.values()) or time.monotonic() > until:
            return held
        time.sleep(0.2)
