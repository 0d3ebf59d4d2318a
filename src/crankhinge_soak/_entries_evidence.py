"""What a cluster's logs and engines say once a run of faults is over."""

from __future__ import annotations

import re
import time
from datetime import datetime
from pathlib import Path

from crankhinge_bench._cluster import Cluster
from crankhinge_bench._procs import http_json
from crankhinge_soak._entries_check import BundleSeen

MEMORY_RELEASE_TIMEOUT_S = 15.0
BUNDLE_IN_FORCE_LINE = re.compile(r"ts=(\S+) .*event=bundle_in_force .*version=(\d+) digest=(\w+)")


def read_drained_count(log: Path) -> int | None:
    """Return how many requests a program had in progress when it ended, by its log."""
    found = re.findall(r"event=drained .*open=(\d+)", log.read_text())
    return int(found[-1]) if found else None


def read_bundles_seen(cluster: Cluster) -> list[BundleSeen]:
    """Return the versions that each start of each process had in force, by the logs."""
    seen = []
    names = [f"entry-{n}" for n in range(cluster.spec.entries)]
    for name in names + [place.name for place in cluster.places]:
        start: BundleSeen | None = None
        for line in (cluster.logs / f"{name}.log").read_text().splitlines():
            if "event=started" in line:
                start = BundleSeen(process=name, versions=[])
                seen.append(start)
            match = BUNDLE_IN_FORCE_LINE.search(line)
            if match and start is not None:
                when = datetime.fromisoformat(match[1]).timestamp()
                start.versions.append((when, int(match[2])))
                start.digests[int(match[2])] = match[3]
    return seen


def wait_until_freed(cluster: Cluster) -> dict[str, int]:
    """Return what each engine holds once it holds nothing, or after a bound."""
    until = time.monotonic() + MEMORY_RELEASE_TIMEOUT_S
    while True:
        held = {}
        for place in cluster.places:
            if place.kind != "plain":
                stats = http_json("GET", place.backend_port, "/stats")
                held[place.name] = stats["running"] + stats["waiting"]
        if not any(held.values()) or time.monotonic() > until:
            return held
        time.sleep(0.2)
