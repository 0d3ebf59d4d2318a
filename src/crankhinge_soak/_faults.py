"""Injects the faults of a seed, single ones and series of the same kind, which may overlap."""

from __future__ import annotations

import copy
import itertools
import random
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import curio

from crankhinge_soak._fleet import (
    MIXED_VERSIONS,
    ROLLED_SERVICE,
    SERVER_VERSIONS,
    Fleet,
    Gateway,
    Place,
)
from crankhinge_soak._proxy import PathFault, Proxy
from crankhinge_standins.replica import CRASH_PART_PREFIX

# An episode injects one fault, or several that belong together. Minimum and maximum time between
# the starts of two episodes.
EPISODE_GAP_S = (0.2, 1.6)
# Maximum number of episodes in a series, and minimum and maximum time between two of them.
MAX_SERIES_LENGTH = 4
SERIES_GAP_S = (0.1, 1.0)
# Minimum and maximum duration of a fault.
FAULT_DURATION_S = (0.3, 4.0)
# Minimum and maximum time that a killed process stays down.
DOWNTIME_S = (0.1, 1.5)
# Maximum duration of a planned stop.
STOP_TIMEOUT_S = 12.0
# Faults of a server: shares of its runs and responses, and a factor on its durations.
SERVER_FAULTS = {
    "errors": 0.5,
    "resets": 0.5,
    "garbles": 0.4,
    "refuses": 0.6,
    "slow": 8.0,
    "unframed": 0.7,
}
NO_SERVER_FAULTS = {**dict.fromkeys(SERVER_FAULTS, 0.0), "slow": 1.0}
# Faults of all decode engines while streams break. Callers take up the streams that their instance
# may not resume again.
BROKEN_STREAM_FAULTS = {"garbles": 0.4, "unframed": 0.5}
# Factor on the durations of an engine that is emptied: its streams then take 0.8 to 4 seconds, so
# that many would not end before the engine does, 2 to 3.5 seconds after its announcement.
EMPTIED_SLOW = 8.0
# Faults of servers whose responses are lost beyond the time-outs of routes, are endless, or are
# sent a second time.
LOST_RESPONSES = {"loses": 0.3}
ENDLESS_RESPONSES = {"endless": 0.3}
COPIED_RESPONSES = {"copies": 0.5}
# Faults of servers that answer runs with 503 and do not say whether they ran.
UNSTATED_RESPONSES = {"unstated": 0.3}
# Minimum and maximum time for which an entry of another writer stays: longer than a task that fails
# at each read takes to reach its restart limit.
FOREIGN_ENTRY_S = (3.0, 6.0)
FOREIGN_SERVER = (
    b'{"service":"plain-a","address":"%s","zone":"z1","version":"v1","slots":%s,"state":"ready",'
    b'"sequence":1}'
)
# What another writer may leave under the prefix of the servers' entries.
FOREIGN_ENTRIES = (
    b"bytes",
    b'{"notes":' + b"[" * 2000 + b"]" * 2000 + b"}",
    FOREIGN_SERVER % (b"localhost:1", b"4"),
    FOREIGN_SERVER % (b"300.1.1.1:1", b"4"),
    FOREIGN_SERVER % (b"127.0.0.1:1", b"1" + b"0" * 400),
)
# Minimum and maximum time for which streams collect on that engine before it begins to leave.
EMPTIED_LOAD_S = (0.3, 1.0)
# Share of responses to moves that are lost on the way from engines while one is emptied.
LOST_MOVES_SHARE = 0.2
# Minimum and maximum time for which callers send requests with a part on which engines crash, and
# seconds between checks of whether an engine has crashed.
CRASH_PART_S = (8.0, 12.0)
CRASH_POLL_S = 0.05
# Limits, in requests per second, that a server advertises.
ADVERTISED_LIMITS = ("0.5", "2", "5")
# Minimum and maximum time for which a server advertises a limit or asks for backoff. The checker
# tests a limit from 3 seconds after the first request on, over windows of 4 seconds, so the limit
# has to last longer than that.
SIGNAL_DURATION_S = (8.0, 12.0)
# Share of requests that a server refuses while it asks for backoff.
BACKOFF_REFUSAL_SHARE = 0.7
# The backoffs that a server asks for.
BACKOFFS_S = (1.0, 3.0, 6.0)
# Number of configuration changes in quick succession.
CONFIG_STORM_LENGTH = 6
# Each share makes a variant occur now and then:
# - SERIES_SHARE: episodes that run as a series;
# - SILENT_LEAVE_SHARE: planned stops of servers without an announcement;
# - OTHER_VERSION_SHARE: planned stops of servers that another software version replaces;
# - UNREADABLE_SETTINGS_SHARE: reloads of settings that can't be parsed;
# - PATH_RESET_SHARE, PATH_MUTE_SHARE: path faults that reset or mute the connections;
# - STORE_LAPSE_SHARE: store outages in which entries and leases expire;
# - CONFIG_STORM_SHARE: configuration changes in quick succession;
# - SERVICE_SWITCH_SHARE, KEY_REVOKE_SHARE, CONFIG_RESIZE_SHARE: configuration changes that switch
#   the service of plain calls, revoke a key, or make the configuration large or small;
# - WHOLE_SERVICE_SHARE: advertised limits and backoffs that come from all servers of a service.
SERIES_SHARE = 0.4
SILENT_LEAVE_SHARE = 0.3
OTHER_VERSION_SHARE = 0.5
UNREADABLE_SETTINGS_SHARE = 0.4
PATH_RESET_SHARE = 0.3
PATH_MUTE_SHARE = 0.25
STORE_LAPSE_SHARE = 0.5
CONFIG_STORM_SHARE = 0.3
SERVICE_SWITCH_SHARE = 0.5
KEY_REVOKE_SHARE = 0.4
CONFIG_RESIZE_SHARE = 0.3
WHOLE_SERVICE_SHARE = 0.3
# - LOST_STORE_SHARE: losses of all instances around which the store has a fault, too;
# - ROLLOUT_GAP_SHARE: rollouts in which no new server starts before all old ones have ended;
# - STRAGGLER_SHARE: rollouts in which one old server ends only some time after all others;
# - KEPT_IDENT_SHARE: servers that a new version replaces under their identity;
# - ROLLOUT_KILL_SHARE: servers that end without a word when they are replaced.
LOST_STORE_SHARE = 0.4
ROLLOUT_GAP_SHARE = 0.25
STRAGGLER_SHARE = 0.4
KEPT_IDENT_SHARE = 0.25
ROLLOUT_KILL_SHARE = 0.4
# Maximum number of losses of all instances in one episode, minimum and maximum time for which they
# are down (records have leases of 6.5 seconds), and between two losses.
MAX_FLEET_LOSSES = 3
FLEET_DOWN_S = (0.2, 8.0)
FLEET_UP_S = (0.5, 6.0)
# Shares of the instances that come back under other names, one of which is drawn for each loss.
RENAMED_SHARES = (0.0, 0.0, 0.5, 1.0)
# Maximum time to wait until no other fault stops or starts a process.
CLAIM_TIMEOUT_S = 14.0
CLAIM_POLL_S = 0.02
# Name of the claim on all instances.
ALL_GATEWAYS = "all-gateways"
# Minimum and maximum time between the ends of two servers in a rollout, and after which the last
# server ends that waits for all others.
ROLLOUT_STEP_S = (0.1, 0.8)
STRAGGLER_S = (0.5, 4.0)
# Age of the copy from which the store comes back, seconds for which it is away before, and seconds
# after which a late write takes effect.
COPY_AGE_S = (0.5, 8.0)
COPY_DOWN_S = (0.05, 2.0)
LATE_WRITE_S = (0.5, 6.0)
STALE_READ_S = (1.0, 6.0)
# Maximum number of seconds by which a clock jumps.
MAX_CLOCK_JUMP_S = 6.0


@dataclass
class InjectedFault:
    """A fault that was injected.

    Attributes:
        kind: kind of the fault.
        target: name of the process; ``store`` affects what every instance knows.
        began: wall clock of the start.
        ended: wall clock of the end; infinite while the fault lasts.
        planned: whether it is an operation, a stop or a reload, during which no request may be cut.
    """

    kind: str
    target: str
    began: float
    ended: float = float("inf")
    planned: bool = False

    def overlaps(self, begin: float, end: float) -> bool:
        """Whether the fault was active at any time from *begin* to *end* (wall clock)."""
        return self.began <= end and begin <= self.ended


class FaultInjector:
    """Injects the faults of a seed.

    Args:
        fleet: the processes and paths that faults hit.
        seed: seed of the schedule.
        kinds: keys of ``EPISODES`` to draw from; all by default.
    """

    def __init__(self, fleet: Fleet, seed: int, kinds: tuple[str, ...] = ()) -> None:
        self.injected: list[InjectedFault] = []
        self.exits: list[str] = []
        self._fleet = fleet
        self._seed = seed
        self._rng = random.Random(seed)
        self._claimed: set[str] = set()
        self._kinds = kinds or tuple(EPISODES)

    async def run(self, seconds: float) -> None:
        """Inject faults for about *seconds*, then wait until every fault has ended."""
        until = await curio.clock() + seconds
        await curio.spawn(self._restart_crashed_engines, daemon=True)
        async with curio.TaskGroup() as group:
            for number in itertools.count():
                if await curio.clock() >= until:
                    break
                name = self._rng.choice(sorted(self._kinds))
                await group.spawn(self._with_own_rng(number)._run_series, EPISODES[name])
                await curio.sleep(self._rng.uniform(*EPISODE_GAP_S))

    def _with_own_rng(self, number: int) -> FaultInjector:
        """Return an injector that shares all state but the random generator.

        Episodes overlap. If they shared one generator, the speed of the machine would decide the
        order of their draws, and a seed would not fix the schedule.
        """
        injector = copy.copy(self)
        injector._rng = random.Random(f"{self._seed}-{number}")
        return injector

    async def _run_series(self, episode: Episode) -> None:
        for _ in range(
            self._rng.randint(1, MAX_SERIES_LENGTH) if self._by_chance(SERIES_SHARE) else 1
        ):
            await episode(self)
            await curio.sleep(self._rng.uniform(*SERIES_GAP_S))

    def _by_chance(self, share: float) -> bool:
        """Draw True with a probability of *share*."""
        return self._rng.random() < share

    def _record_fault(self, kind: str, target: str, *, planned: bool = False) -> InjectedFault:
        record = InjectedFault(kind, target, time.time(), planned=planned)
        self.injected.append(record)
        return record

    def _try_claim(self, name: str) -> bool:
        """Claim a process, which only one fault may stop or start; return whether it was free."""
        is_gateway = name in {gateway.name for gateway in self._fleet.gateways}
        if name in self._claimed or (is_gateway and ALL_GATEWAYS in self._claimed):
            return False
        self._claimed.add(name)
        return True

    async def _claim_when_free(self, name: str) -> bool:
        """Claim a process once it is free; return False if that takes too long."""
        until = await curio.clock() + CLAIM_TIMEOUT_S
        while not self._try_claim(name):
            if await curio.clock() > until:
                return False
            await curio.sleep(CLAIM_POLL_S)
        return True

    async def _claim_all_gateways(self) -> bool:
        """Claim all instances once no other fault stops or starts one; return whether it did."""
        if not self._try_claim(ALL_GATEWAYS):
            return False
        until = await curio.clock() + CLAIM_TIMEOUT_S
        names = {gateway.name for gateway in self._fleet.gateways}
        while names & self._claimed:
            if await curio.clock() > until:
                self._claimed.discard(ALL_GATEWAYS)
                return False
            await curio.sleep(CLAIM_POLL_S)
        return True

    async def _wait_and_end(self, record: InjectedFault) -> None:
        """Let a fault last for a random time, then record its end."""
        await curio.sleep(self._rng.uniform(*FAULT_DURATION_S))
        record.ended = time.time()

    def _pick_gateway(self) -> Gateway:
        return self._rng.choice(self._fleet.gateways)

    def _pick_place(self) -> Place:
        return self._rng.choice(self._fleet.places)

    @asynccontextmanager
    async def _claimed_for_fault(
        self, name: str, kind: str, *, planned: bool = False
    ) -> AsyncIterator[bool]:
        """Claim a process during a fault; yields False when another fault has claimed it."""
        if not self._try_claim(name):
            yield False
            return
        # Once the process is replaced, it can't be seen any more that it had exited by itself.
        self.exits += [other for other in self._fleet.ended_gateways() if other == name]
        record = self._record_fault(kind, name, planned=planned)
        yield True
        record.ended = time.time()
        self._claimed.discard(name)

    async def _kill(self, name: str, start: Callable[[], None]) -> None:
        async with self._claimed_for_fault(name, "kill") as claimed:
            if claimed:
                self._fleet.kill(name)
                await curio.sleep(self._rng.uniform(*DOWNTIME_S))
                start()

    async def _kill_gateway(self) -> None:
        gateway = self._pick_gateway()
        await self._kill(gateway.name, lambda: self._fleet.start_gateway(gateway))

    async def _kill_server(self) -> None:
        place = self._pick_place()
        await self._kill(place.name, lambda: self._fleet.start_server(place))

    async def _stop(self, name: str, start: Callable[[], None]) -> None:
        async with self._claimed_for_fault(name, "stop", planned=True) as claimed:
            if claimed:
                await self._terminate(name)
                start()

    async def _terminate(self, name: str) -> None:
        """Send SIGTERM and wait; record and kill a process that does not exit in time."""
        self._fleet.signal(name, signal.SIGTERM)
        proc = self._fleet.procs[name]
        until = time.time() + STOP_TIMEOUT_S
        while proc.poll() is None and time.time() < until:
            await curio.sleep(0.05)
        if proc.poll() is None:
            self._record_fault("unstoppable", name).ended = time.time()
        self._fleet.kill(name)

    async def _stop_gateway(self) -> None:
        gateway = self._pick_gateway()
        await self._stop(gateway.name, lambda: self._fleet.start_gateway(gateway))

    async def _stop_server(self) -> None:
        place = self._pick_place()
        silent = self._by_chance(SILENT_LEAVE_SHARE)
        if self._by_chance(OTHER_VERSION_SHARE):
            version = self._rng.choice(MIXED_VERSIONS)
            place.version = place.version if self._fleet.has_one_version else version
        await self._stop(place.name, lambda: self._fleet.start_server(place, silent_leave=silent))

    async def _empty_engine(self) -> None:
        """Slow a decode engine down and stop it, so that its runs are moved to the others."""
        engines = [place for place in self._fleet.places if place.role == "decode"]
        place = self._rng.choice(engines)
        lose = self._by_chance(0.5)
        load_s = self._rng.uniform(*EMPTIED_LOAD_S)
        async with self._claimed_for_fault(place.name, "stop", planned=True) as claimed:
            if not claimed:
                return
            faults = {"slow": EMPTIED_SLOW, "move_mutes": LOST_MOVES_SHARE if lose else 0.0}
            await self._fleet.set_faults(place.port, **faults)
            await curio.sleep(load_s)
            await self._terminate(place.name)
            self._fleet.start_server(place)

    async def _pause(self, name: str) -> None:
        async with self._claimed_for_fault(name, "pause") as claimed:
            if claimed:
                self._fleet.signal(name, signal.SIGSTOP)
                await curio.sleep(self._rng.uniform(*FAULT_DURATION_S))
                self._fleet.signal(name, signal.SIGCONT)

    async def _pause_gateway(self) -> None:
        await self._pause(self._pick_gateway().name)

    async def _pause_server(self) -> None:
        await self._pause(self._pick_place().name)

    async def _reload_gateway(self) -> None:
        """Send SIGHUP, in a share of cases with settings that can't be parsed.

        Only an instance that has started gets the signal. Settings that can't be parsed end an
        instance at its start, as they should, and a signal that arrives before the interpreter runs
        the program's code ends the process.
        """
        gateway = self._pick_gateway()
        if not self._fleet.is_listening(gateway) or not self._try_claim(gateway.name):
            return
        self._record_fault("reload", gateway.name, planned=True).ended = time.time()
        if self._by_chance(UNREADABLE_SETTINGS_SHARE):
            self._fleet.write_settings(gateway, "name = [")
        self._fleet.signal(gateway.name, signal.SIGHUP)
        await curio.sleep(self._rng.uniform(*SERIES_GAP_S))
        self._fleet.write_settings(gateway)
        self._claimed.discard(gateway.name)

    async def _skew_gateway_clock(self) -> None:
        gateway = self._pick_gateway()
        record = self._record_fault("clock", gateway.name)
        clock = self._fleet.clock_file(gateway)
        clock.write_text(str(self._rng.uniform(-MAX_CLOCK_JUMP_S, MAX_CLOCK_JUMP_S)))
        await self._wait_and_end(record)
        clock.write_text("0")

    async def _fail_server(self) -> None:
        place = self._pick_place()
        # Two faults at once, so that more combinations occur within a seed's duration.
        names = self._rng.sample(sorted(SERVER_FAULTS), 2)
        record = self._record_fault("+".join(names), place.name)
        await self._fleet.set_faults(place.port, **{name: SERVER_FAULTS[name] for name in names})
        await self._wait_and_end(record)
        await self._fleet.set_faults(place.port, **NO_SERVER_FAULTS)

    async def _fail_responses(self, kind: str, faults: dict[str, float]) -> None:
        """Let half of all servers harm a share of their responses."""
        count = len(self._fleet.places) // 2
        places = self._rng.sample(self._fleet.places, count)
        records = [self._record_fault(kind, place.name) for place in places]
        for place in places:
            await self._fleet.set_faults(place.port, **faults)
        await curio.sleep(self._rng.uniform(*FAULT_DURATION_S))
        for place in places:
            await self._fleet.set_faults(place.port, **dict.fromkeys(faults, 0.0))
        for record in records:
            record.ended = time.time()

    async def _lose_responses(self) -> None:
        await self._fail_responses("lost-responses", LOST_RESPONSES)

    async def _send_endless_bytes(self) -> None:
        await self._fail_responses("endless-bytes", ENDLESS_RESPONSES)

    async def _copy_responses(self) -> None:
        await self._fail_responses("late-copies", COPIED_RESPONSES)

    async def _send_unstated_statuses(self) -> None:
        await self._fail_responses("unstated-statuses", UNSTATED_RESPONSES)

    async def _leave_foreign_entry(self) -> None:
        """Write an entry that names no server, and remove it later."""
        record = self._record_fault("foreign-entry", "entries")
        name = self._rng.choice(["left-by-another", "caf%C3%A9", "a%0D%0Ab"])
        # A name of its own, so that no other episode removes the entry sooner.
        name += f"-{self._rng.getrandbits(32):08x}"
        await self._fleet.write_entry(name, self._rng.choice(FOREIGN_ENTRIES))
        await curio.sleep(self._rng.uniform(*FOREIGN_ENTRY_S))
        await self._fleet.write_entry(name, b"")
        record.ended = time.time()

    async def _break_streams(self) -> None:
        """Break off a share of all streams, many of which have neither a length nor chunks."""
        engines = [place for place in self._fleet.places if place.role == "decode"]
        records = [self._record_fault("broken-streams", place.name) for place in engines]
        for place in engines:
            await self._fleet.set_faults(place.port, **BROKEN_STREAM_FAULTS)
        await curio.sleep(self._rng.uniform(*FAULT_DURATION_S))
        for place in engines:
            await self._fleet.set_faults(place.port, **NO_SERVER_FAULTS)
        for record in records:
            record.ended = time.time()

    async def _send_crash_part(self) -> None:
        """Let callers send requests that share a part on which engines crash."""
        if not self._try_claim("crash-part"):
            return
        record = self._record_fault("crash-part", "callers")
        self._fleet.crash_part = f"{CRASH_PART_PREFIX}{self._rng.getrandbits(32):08x}"
        await curio.sleep(self._rng.uniform(*CRASH_PART_S))
        self._fleet.crash_part = ""
        record.ended = time.time()
        self._claimed.discard("crash-part")

    async def _restart_crashed_engines(self) -> None:
        """Start engines again that have ended by themselves, each after some time."""
        while True:
            for place in self._fleet.places:
                proc = self._fleet.procs.get(place.name)
                if proc is not None and proc.poll() is not None and place.name not in self._claimed:
                    await curio.spawn(self._restart_crashed, place, daemon=True)
            await curio.sleep(CRASH_POLL_S)

    async def _restart_crashed(self, place: Place) -> None:
        async with self._claimed_for_fault(place.name, "crash") as claimed:
            if claimed:
                await curio.sleep(self._rng.uniform(*DOWNTIME_S))
                self._fleet.start_server(place)

    def _expand_to_service(self, place: Place) -> list[Place]:
        """Return the server's place, or in a share of cases all places of its service."""
        same_service = [each for each in self._fleet.places if each.service == place.service]
        return same_service if self._by_chance(WHOLE_SERVICE_SHARE) else [place]

    async def _limit_server(self) -> None:
        """Let a server, or all servers of its service, advertise a limit."""
        places = self._expand_to_service(self._pick_place())
        advertised_limit = self._rng.choice(ADVERTISED_LIMITS)
        for each in places:
            await self._fleet.set_faults(each.port, limit=advertised_limit)
        await curio.sleep(self._rng.uniform(*SIGNAL_DURATION_S))
        for each in places:
            await self._fleet.set_faults(each.port, limit="")

    async def _back_off_server(self) -> None:
        """Let a server, or all servers of its service, refuse requests and ask for backoff."""
        places = self._expand_to_service(self._pick_place())
        backoff_s = self._rng.choice(BACKOFFS_S)
        for each in places:
            await self._fleet.set_faults(each.port, refuses=BACKOFF_REFUSAL_SHARE, rest_s=backoff_s)
        await curio.sleep(self._rng.uniform(*SIGNAL_DURATION_S))
        for each in places:
            await self._fleet.set_faults(each.port, refuses=0.0, rest_s=0.0)
        # The last backoff still runs; instances use the server normally only after it.
        await curio.sleep(backoff_s)

    async def _fail_path(self, proxy: Proxy, kind: str, target: str, *, mutes: bool = True) -> None:
        """Reset or mute the connections of a path, or slow or cut it for a while."""
        record = self._record_fault(f"{kind}-reset", target)
        if self._by_chance(PATH_RESET_SHARE):
            await proxy.reset()
            record.ended = time.time()
            return
        if mutes and self._by_chance(PATH_MUTE_SHARE):
            record.kind = f"{kind}-mute"
            proxy.mute()
            record.ended = time.time()
            return
        proxy.fault = self._rng.choice(
            [fault for fault in PathFault if fault is not PathFault.NONE]
        )
        record.kind = f"{kind}-{proxy.fault.value}"
        await self._wait_and_end(record)
        proxy.fault = PathFault.NONE

    async def _fail_store_path(self) -> None:
        gateway = self._pick_gateway()
        await self._fail_path(gateway.store_proxy, "store-path", f"{gateway.name}/store")

    async def _fail_caller_path(self) -> None:
        gateway = self._pick_gateway()
        # This path is never muted: a request that a caller sends on a muted connection would never
        # reach the instance.
        await self._fail_path(gateway.caller_proxy, "callers-path", gateway.name, mutes=False)

    async def _fail_server_path(self) -> None:
        place = self._pick_place()
        await self._fail_path(place.proxy, "server-path", place.name)

    async def _fail_store(self) -> None:
        if not self._try_claim("store"):
            return
        lapse = self._by_chance(STORE_LAPSE_SHARE)
        fault: dict[str, Any] = self._rng.choice(
            [
                {"down": "silent", "lapse": lapse},
                {"down": "busy", "lapse": lapse},
                {"down": "reset", "lapse": lapse},
                {"delay_s": 0.3},
                {"lose_writes": True},
                {"forget": True},
            ]
        )
        record = self._record_fault("store-" + next(iter(fault)), "store")
        await self._fleet.set_faults(self._fleet.store_port, **fault)
        await self._wait_and_end(record)
        no_faults = {
            "down": "",
            "lapse": False,
            "delay_s": 0.0,
            "lose_writes": False,
            "forget": False,
        }
        await self._fleet.set_faults(self._fleet.store_port, **no_faults)
        record.ended = time.time()
        self._claimed.discard("store")

    async def _rewind_store(self) -> None:
        """Let the store be away for a moment and come back from an older copy."""
        if not self._try_claim("store"):
            return
        record = self._record_fault("store-copy", "store")
        await self._set_store_faults(down=self._rng.choice(["silent", "busy", "reset"]))
        await curio.sleep(self._rng.uniform(*COPY_DOWN_S))
        await self._set_store_faults(rewind_s=self._rng.uniform(*COPY_AGE_S))
        await curio.sleep(SERIES_GAP_S[0])
        await self._set_store_faults(down="")
        record.ended = time.time()
        self._claimed.discard("store")

    async def _delay_store_writes(self) -> None:
        """Let transactions take effect seconds later, without a response."""
        await self._fail_store_for_a_while(late_s=self._rng.uniform(*LATE_WRITE_S))

    async def _let_store_reads_be_stale(self) -> None:
        """Let stale reads see a state that is seconds old."""
        await self._fail_store_for_a_while(stale_s=self._rng.uniform(*STALE_READ_S))

    async def _fail_store_for_a_while(self, **fault: float) -> None:
        if not self._try_claim("store"):
            return
        [name] = fault
        record = self._record_fault(f"store-{name}", "store")
        await self._set_store_faults(**fault)
        await self._wait_and_end(record)
        await self._set_store_faults(**{name: 0.0})
        record.ended = time.time()
        self._claimed.discard("store")

    async def _set_store_faults(self, **faults: Any) -> None:
        await self._fleet.set_faults(self._fleet.store_port, **faults)

    async def _lose_fleet(self) -> None:
        """Kill all instances at the same moment, up to MAX_FLEET_LOSSES times."""
        if not await self._claim_all_gateways():
            return
        for number in range(self._rng.randint(1, MAX_FLEET_LOSSES)):
            if number:
                await curio.sleep(self._rng.uniform(*FLEET_UP_S))
            async with curio.TaskGroup() as group:
                if self._by_chance(LOST_STORE_SHARE):
                    episode = self._rng.choice(STORE_EPISODES)
                    await group.spawn(episode, self._with_own_rng(self._rng.getrandbits(32)))
                await group.spawn(self._lose_fleet_once)
        self._claimed.discard(ALL_GATEWAYS)

    async def _lose_fleet_once(self) -> None:
        gateways = self._fleet.gateways
        # Once the processes are replaced, it can't be seen any more that one had exited by itself.
        self.exits += self._fleet.ended_gateways()
        records = [self._record_fault("lost", gateway.name) for gateway in gateways]
        for gateway in gateways:
            self._fleet.signal(gateway.name, signal.SIGKILL)
        for gateway in gateways:
            self._fleet.kill(gateway.name)
        # Short times are as frequent as long ones.
        short, long = FLEET_DOWN_S
        await curio.sleep(short * (long / short) ** self._rng.random())
        renamed = round(self._rng.choice(RENAMED_SHARES) * len(gateways))
        for gateway in self._rng.sample(gateways, renamed):
            gateway.identity = f"{gateway.name}-{self._rng.getrandbits(32):08x}"
        for gateway in gateways:
            self._fleet.start_gateway(gateway)
        for record in records:
            record.ended = time.time()

    async def _roll_versions(self) -> None:
        """Replace the servers of a service one after the other by ones of the next version."""
        if not self._try_claim("rollout"):
            return
        record = self._record_fault("rollout", "rollout")
        places = [place for place in self._fleet.places if place.service == ROLLED_SERVICE]
        self._rng.shuffle(places)
        newest = max(SERVER_VERSIONS, key=[place.version for place in places].count)
        position = SERVER_VERSIONS.index(newest) + 1
        version = SERVER_VERSIONS[position % len(SERVER_VERSIONS)]
        may_start = curio.Event()
        if not self._by_chance(ROLLOUT_GAP_SHARE):
            await may_start.set()
        stragglers = places[:1] if self._by_chance(STRAGGLER_SHARE) else []
        others = places[len(stragglers) :]
        async with curio.TaskGroup() as group:
            for place in others:
                await group.spawn(self._replace_server, place, version, may_start)
                await curio.sleep(self._rng.uniform(*ROLLOUT_STEP_S))
            if not may_start.is_set():
                await self._wait_until_ended(others)
                await may_start.set()
        for place in stragglers:
            await curio.sleep(self._rng.uniform(*STRAGGLER_S))
            await self._replace_server(place, version, may_start)
        record.ended = time.time()
        self._claimed.discard("rollout")

    async def _wait_until_ended(self, places: list[Place]) -> None:
        """Wait until the processes of all *places* have ended, or too much time has passed."""
        until = await curio.clock() + CLAIM_TIMEOUT_S
        while any(place.name in self._fleet.procs for place in places):
            if await curio.clock() > until:
                return
            await curio.sleep(CLAIM_POLL_S)

    async def _replace_server(self, place: Place, version: str, may_start: curio.Event) -> None:
        """End a server, and start one of another version in its place."""
        kills, keeps = self._by_chance(ROLLOUT_KILL_SHARE), self._by_chance(KEPT_IDENT_SHARE)
        silent = self._by_chance(SILENT_LEAVE_SHARE)
        if not await self._claim_when_free(place.name):
            return
        record = self._record_fault("kill" if kills else "stop", place.name, planned=not kills)
        if kills:
            self._fleet.kill(place.name)
        else:
            await self._terminate(place.name)
        await may_start.wait()
        place.version = version
        self._fleet.start_server(place, silent_leave=silent, keeps_ident=keeps)
        record.ended = time.time()
        self._claimed.discard(place.name)

    async def _publish_configs(self) -> None:
        """Publish one configuration change, or several in quick succession."""
        if not self._try_claim("config"):
            return
        if self._by_chance(CONFIG_RESIZE_SHARE):
            self._fleet.toggle_config_size()
        for _ in range(CONFIG_STORM_LENGTH if self._by_chance(CONFIG_STORM_SHARE) else 1):
            switch = self._by_chance(SERVICE_SWITCH_SHARE)
            await self._fleet.publish(
                switch_service=switch, revoke_key=self._by_chance(KEY_REVOKE_SHARE)
            )
        self._claimed.discard("config")


Episode = Callable[[FaultInjector], Awaitable[None]]

# What the store may do around a loss of all instances.
STORE_EPISODES: tuple[Episode, ...] = (
    FaultInjector._fail_store,
    FaultInjector._fail_store,
    FaultInjector._rewind_store,
    FaultInjector._delay_store_writes,
    FaultInjector._let_store_reads_be_stale,
)

# The kinds of episodes that a seed draws from, by the name that ``--kinds`` uses.
EPISODES: dict[str, Episode] = {
    "kill-gateway": FaultInjector._kill_gateway,
    "stop-gateway": FaultInjector._stop_gateway,
    "pause-gateway": FaultInjector._pause_gateway,
    "reload-gateway": FaultInjector._reload_gateway,
    "clock-gateway": FaultInjector._skew_gateway_clock,
    "kill-server": FaultInjector._kill_server,
    "stop-server": FaultInjector._stop_server,
    "pause-server": FaultInjector._pause_server,
    "empty-engine": FaultInjector._empty_engine,
    "harm-server": FaultInjector._fail_server,
    "lose-responses": FaultInjector._lose_responses,
    "endless-bytes": FaultInjector._send_endless_bytes,
    "late-copies": FaultInjector._copy_responses,
    "unstated-statuses": FaultInjector._send_unstated_statuses,
    "foreign-entry": FaultInjector._leave_foreign_entry,
    "break-streams": FaultInjector._break_streams,
    "crash-part": FaultInjector._send_crash_part,
    "limit-server": FaultInjector._limit_server,
    "rest-server": FaultInjector._back_off_server,
    "path-store": FaultInjector._fail_store_path,
    "path-callers": FaultInjector._fail_caller_path,
    "path-server": FaultInjector._fail_server_path,
    "store": FaultInjector._fail_store,
    "store-copy": FaultInjector._rewind_store,
    "store-late": FaultInjector._delay_store_writes,
    "store-stale": FaultInjector._let_store_reads_be_stale,
    "lose-fleet": FaultInjector._lose_fleet,
    "roll-versions": FaultInjector._roll_versions,
    "config": FaultInjector._publish_configs,
}
