"""Writes day files for the users' bench and runs them.

A day is one run of the users' bench. A day file lists the events of a day (planned operations and
faults) with their start times. The first days have one kind of event each, the later days a random
mix. The kinds and their variants are those that the users' bench knows. The site file describes the
system to the bench; this module reads only the services from it. If a command that runs a day is
given, the days run concurrently, and the rules of the bench that were broken are printed.
"""

from __future__ import annotations

import argparse
import itertools
import random
import re
import shlex
import subprocess
import tomllib
from collections import Counter
from collections.abc import Collection, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from crankhinge.errors import SettingsError

# Earliest and latest start of an event, in seconds from the start of traffic.
MIN_START_S, MAX_START_S = 0.5, 28.0
PLAY_TIMEOUT_S = 600.0
BROKEN_RULE = re.compile(r"BROKEN: (.*?)(?: \(|$)")

# Fields of one planned operation or fault, as a day file has them.
Event = dict[str, Any]

# Kinds of events that affect the servers of one service, and the variants of each kind.
SERVER_KINDS: dict[str, tuple[str, ...]] = {
    "srv_crash": ("", "dark", "gone", "across", "domain"),
    "srv_grey": ("errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone"),
    "release": ("",),
    "scale_in": ("", "spot", "reclaim"),
    "scale_out": ("",),
    "answer_lost": ("", "reset"),
    "garble": ("", "extra", "unframed", "early", "rot", "extra late"),
    "srv_slow": ("",),
    "srv_cut": ("", "fronts", "some", "one_way", "reset"),
    "replace_with_reuse": ("", "drain", "dark"),
    "kv_slow": ("",),
    "handle_short": ("",),
    "applied_late": ("orders", "cloud", "grants", "all"),
}
# Kinds of events that affect the system's own instances, the platform, callers or operators, and
# the variants of each kind.
OTHER_KINDS: dict[str, tuple[str, ...]] = {
    "burst": ("",),
    "shift": ("",),
    "retry_abuse": ("",),
    "give_up": ("",),
    "node_kill": ("", "power", "leader race drain", "meet drain", "turn hard"),
    "node_slow": ("",),
    "node_freeze": ("", "leader"),
    "node_cut": ("", "all", "meet", "servers", "reset", "refuse"),
    "roll_term": ("", "busy", "remove"),
    "replace_core": ("", "planned", "leader"),
    "after_ack_kill": ("", "kill", "timed", "taken"),
    "clock_step": ("", "back", "ahead"),
    "reset_conns": ("", "silent"),
    "core_cut": ("", "giver", "leader race", "reader", "one_way"),
    "lossy": ("",),
    "herd_kill": ("", "power"),
    "hup": ("",),
    "platform_down": (
        "silent",
        "busy",
        "reset",
        "silent lapse",
        "nodes busy",
        "nodes many",
        "nodes reset revoke meet",
        "nodes leader",
    ),
    "platform_slow": ("",),
    "platform_lost": ("", "late"),
    "platform_compact": ("", "drain"),
    "config_change": ("route", "weights", "timeout", "idle"),
    "config_storm": ("",),
    "big_config": ("",),
}
# Fields that are set for events of a kind in place of the defaults of the users' bench.
EXTRA_FIELDS: dict[str, Event] = {
    "config_storm": {"for_s": 2.0, "gap_s": 0.1},
    "big_config": {"count": 1400},
    "herd_kill": {"share": 0.6, "for_s": 2.0},
    "burst": {"x": 2.0, "for_s": 5.0},
}
PLANNED_KINDS = frozenset(
    {"release", "scale_in", "scale_out", "roll_term", "config_change", "config_storm", "big_config"}
)


@dataclass(frozen=True)
class Day:
    """One run of the users' bench, as a day file describes it.

    Attributes:
        name: name of the day, and of its file without the suffix.
        seed: seed with which the users' bench runs this day.
        events: planned operations and faults of the day.
    """

    name: str
    seed: int
    events: tuple[Event, ...]

    def to_toml(self) -> str:
        """Return the text of the day file."""
        lines = [f'name = "{self.name}"', f"seed = {self.seed}"]
        for part, planned in (("plan", True), ("faults", False)):
            rows = [event for event in self.events if (event["kind"] in PLANNED_KINDS) is planned]
            lines += [f"{part} = [", *(f"  {_inline_table(row)}," for row in rows), "]"]
        return "\n".join(lines) + "\n"


def _inline_table(event: Event) -> str:
    pairs = (
        f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}"
        for key, value in event.items()
    )
    return "{ " + ", ".join(pairs) + " }"


def list_variants(kinds: Collection[str] = ()) -> list[tuple[str, str]]:
    """Return the pairs of kind and variant of the events in *kinds*; all pairs if it is empty."""
    all_kinds = itertools.chain(SERVER_KINDS.items(), OTHER_KINDS.items())
    return [
        (kind, variant)
        for kind, variants in all_kinds
        for variant in variants
        if not kinds or kind in kinds
    ]


def engine_services(site: dict[str, Any]) -> list[str]:
    """Return the names of the services whose servers are engines."""
    return [row["name"] for row in site["services"] if "llm" in row]


def make_event(kind: str, variant: str, site: dict[str, Any], rng: random.Random) -> Event:
    """Return an event with a random start time.

    If events of the kind affect servers, a service of *site* is drawn as well.
    """
    row: Event = {
        "kind": kind,
        "at": round(rng.uniform(MIN_START_S, MAX_START_S), 2),
        "how": variant,
    }
    row.update(EXTRA_FIELDS.get(kind, {}))
    if kind in SERVER_KINDS:
        names = [service["name"] for service in site["services"]]
        only_engines = kind in ("kv_slow", "handle_short", "applied_late")
        row["service"] = rng.choice(engine_services(site) if only_engines else names)
    return row


def make_days(
    site: dict[str, Any],
    *,
    days_per_variant: int,
    mixed_days: int,
    seed: int,
    kinds: Collection[str] = (),
    max_events: int = 3,
) -> Iterator[Day]:
    """Yield days with events of one variant of a kind each, then days with random events.

    A day for one variant has one or two events of this variant.

    Args:
        site: the parsed site file, which describes the system to the users' bench.
        days_per_variant: number of days for each variant of each kind.
        mixed_days: number of days with two or more random events.
        seed: seed of all random choices; the same seed gives the same days.
        kinds: kinds of events to choose from; empty for all.
        max_events: maximum number of events of a day with random events.
    """
    rng = random.Random(seed)
    number = 0
    for kind, variant in list_variants(kinds):
        for _ in range(days_per_variant):
            number += 1
            rows = tuple(make_event(kind, variant, site, rng) for _ in range(rng.choice((1, 1, 2))))
            name = re.sub(r"\W+", "-", f"{kind} {variant}".strip())
            yield Day(f"one-{number}-{name}", rng.randrange(2**31), rows)
    for index in range(mixed_days):
        # Two is the most common number of events of a day. The same variant may be drawn twice.
        drawn = rng.choices(list_variants(kinds), k=rng.choice((2, *range(2, max_events + 1))))
        rows = tuple(make_event(kind, variant, site, rng) for kind, variant in drawn)
        yield Day(f"drawn-{index}", rng.randrange(2**31), rows)


def _play_day(command: str, path: Path) -> tuple[Path, str, list[str]]:
    command_line = [word.replace("{day}", str(path)) for word in shlex.split(command)]
    completed = subprocess.run(
        command_line, capture_output=True, text=True, timeout=PLAY_TIMEOUT_S, check=False
    )
    found = BROKEN_RULE.findall(completed.stdout)
    if completed.returncode != 0 and not found:
        found = [
            f"FAULT: exit {completed.returncode}: {(completed.stdout + completed.stderr)[-200:]!r}"
        ]
    (path.with_suffix(".txt")).write_text(completed.stdout)
    return path, completed.stdout, found


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command's arguments."""
    parser.add_argument("site", type=Path, help="site file")
    parser.add_argument("--out", type=Path, required=True, help="directory for the day files")
    parser.add_argument(
        "--each", type=int, default=3, help="number of days for each kind and variant"
    )
    parser.add_argument(
        "--pairs", type=int, default=200, help="number of days with several random kinds"
    )
    parser.add_argument("--kinds", default="", help="kinds to choose from, separated by commas")
    parser.add_argument(
        "--most", type=int, default=3, help="maximum number of events of a mixed day"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--play",
        default="",
        help="command that runs the day file {day}; without it, days are only written",
    )
    parser.add_argument(
        "--jobs", type=int, default=4, help="number of days that run at the same time"
    )
    parser.set_defaults(run=run_days)


def run_days(args: argparse.Namespace) -> int:
    """Write the days and, with ``--play``, run them; return 1 if a rule broke, else 0.

    Raises:
        SettingsError: ``--kinds`` names an unknown kind.
    """
    site = tomllib.loads(args.site.read_text())
    args.out.mkdir(parents=True, exist_ok=True)
    paths = []
    kinds = {name for name in args.kinds.split(",") if name}
    if unknown := kinds - {*SERVER_KINDS, *OTHER_KINDS}:
        raise SettingsError(f"--kinds: unknown kinds: {sorted(unknown)}")
    drawn = make_days(
        site,
        days_per_variant=args.each,
        mixed_days=args.pairs,
        seed=args.seed,
        kinds=kinds,
        max_events=args.most,
    )
    for day in drawn:
        path = args.out / f"{day.name}.toml"
        path.write_text(day.to_toml())
        paths.append(path)
    print(f"{len(paths)} days written")
    if not args.play:
        return 0
    broken: Counter[str] = Counter()
    with ThreadPoolExecutor(args.jobs) as pool:
        for path, _, found in pool.map(lambda path: _play_day(args.play, path), paths):
            for rules in found:
                print(f"{path.stem}: {rules}", flush=True)
                broken[rules.split()[0]] += 1
    print(f"{len(paths)} days played; broken: {dict(broken)}")
    return 1 if broken else 0
