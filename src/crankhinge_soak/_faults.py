"""The schedule of a seed: which faults come when, in series and overlapping."""

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

from crankhinge_soak._fleet import Fleet, Gateway, Place
from crankhinge_soak._proxy import PathFault, Proxy

# Seconds between the beginnings of two episodes, and how often one is repeated at once.
EPISODE_GAP_S = (0.2, 1.6)
MAX_SERIES_LENGTH = 4
SERIES_GAP_S = (0.1, 1.0)
# Seconds that a fault lasts.
FAULT_DURATION_S = (0.3, 4.0)
# Seconds that a process stays down, and that a planned stop may take.
DOWNTIME_S = (0.1, 1.5)
STOP_TIMEOUT_S = 12.0
# Faults of a server: shares of its runs and answers, and a factor on its durations.
SERVER_FAULTS = {"errors": 0.5, "resets": 0.5, "garbles": 0.4, "refuses": 0.6, "slow": 8.0}
NO_SERVER_FAULTS = {"errors": 0.0, "resets": 0.0, "garbles": 0.0, "refuses": 0.0, "slow": 1.0}
# What servers in need name as the requests a second that they take, and for how many seconds: the
# bound holds three seconds after the first word, over four.
ADVERTISED_LIMITS = ("0.5", "2", "5")
SIGNAL_DURATION_S = (8.0, 12.0)
# Part of the requests that a server refuses that wants rest, and the seconds that it names.
BACKOFF_REFUSAL_SHARE = 0.7
BACKOFFS_S = (1.0, 3.0, 6.0)
# Changes of the configuration in quick succession.
CONFIG_STORM_LENGTH = 6
# Shares, so that each variant comes now and then: of episodes, those in series; of
# planned stops of servers, those without a word; of reloads, those of settings that can't be read;
# of harmed paths, those that are reset and those whose connections fall silent; of outages of the
# store, those in which entries lapse; of changes of the configuration, those in quick succession,
# those that move calls, those that take a key away, and those that make it large or small; of
# servers that name limits or want rest, those whose service does as a whole.
SERIES_SHARE = 0.4
SILENT_LEAVE_SHARE = 0.3
UNREADABLE_SETTINGS_SHARE = 0.4
PATH_RESET_SHARE = 0.3
PATH_MUTE_SHARE = 0.25
STORE_LAPSE_SHARE = 0.3
CONFIG_STORM_SHARE = 0.3
SERVICE_SWITCH_SHARE = 0.5
KEY_REVOKE_SHARE = 0.4
CONFIG_RESIZE_SHARE = 0.3
WHOLE_SERVICE_SHARE = 0.3
# Seconds by which a clock jumps, at most.
MAX_CLOCK_JUMP_S = 6.0


@dataclass
class InjectedFault:
    """A fault as it was played.

    Attributes:
        kind: what it was.
        target: name of the process; ``store`` harms every instance's knowledge.
        began: wall clock.
        ended: wall clock; infinite while it lasts.
        planned: whether it is a planned stop.
    """

    kind: str
    target: str
    began: float
    ended: float = float("inf")
    planned: bool = False

    def overlaps(self, begin: float, end: float) -> bool:
        """Whether it lasted at some time from *begin* to *end* (wall clock)."""
        return self.began <= end and begin <= self.ended


class FaultInjector:
    """Plays a seed's schedule.

    Args:
        fleet: what it befalls.
        seed: of the schedule.
        kinds: keys of ``EPISODES`` to play; all by default.
    """

    def __init__(self, fleet: Fleet, seed: int, kinds: tuple[str, ...] = ()) -> None:
        self.played: list[InjectedFault] = []
        self.exits: list[str] = []
        self._fleet = fleet
        self._seed = seed
        self._rng = random.Random(seed)
        self._claimed: set[str] = set()
        self._kinds = kinds or tuple(EPISODES)

    async def run(self, seconds: float) -> None:
        """Play for about *seconds*, then wait until everything is whole again."""
        until = await curio.clock() + seconds
        async with curio.TaskGroup() as group:
            for number in itertools.count():
                if await curio.clock() >= until:
                    break
                name = self._rng.choice(sorted(self._kinds))
                await group.spawn(self._with_own_rng(number)._run_series, EPISODES[name])
                await curio.sleep(self._rng.uniform(*EPISODE_GAP_S))

    def _with_own_rng(self, number: int) -> FaultInjector:
        """Return a player of the same faults whose draws no other episode disturbs.

        Episodes overlap, and the order in which they draw would depend on the machine's speed.
        """
        player = copy.copy(self)
        player._rng = random.Random(f"{self._seed}-{number}")
        return player

    async def _run_series(self, episode: Episode) -> None:
        for _ in range(
            self._rng.randint(1, MAX_SERIES_LENGTH) if self._by_chance(SERIES_SHARE) else 1
        ):
            await episode(self)
            await curio.sleep(self._rng.uniform(*SERIES_GAP_S))

    def _by_chance(self, share: float) -> bool:
        return self._rng.random() < share

    def _record_fault(self, kind: str, target: str, *, planned: bool = False) -> InjectedFault:
        trouble = InjectedFault(kind, target, time.time(), planned=planned)
        self.played.append(trouble)
        return trouble

    def _try_claim(self, name: str) -> bool:
        """Take a process whose life is to be changed; two of these can't be at it at once."""
        if name in self._claimed:
            return False
        self._claimed.add(name)
        return True

    async def _wait_and_end(self, trouble: InjectedFault) -> None:
        await curio.sleep(self._rng.uniform(*FAULT_DURATION_S))
        trouble.ended = time.time()

    def _pick_gateway(self) -> Gateway:
        return self._rng.choice(self._fleet.gateways)

    def _pick_place(self) -> Place:
        return self._rng.choice(self._fleet.places)

    @asynccontextmanager
    async def _claimed_for_fault(
        self, name: str, kind: str, *, planned: bool = False
    ) -> AsyncIterator[bool]:
        """Have a process to oneself for a trouble; gives False while another one has it."""
        if not self._try_claim(name):
            yield False
            return
        # An exit of its own would be lost with the process.
        self.exits += [ended for ended in self._fleet.ended_gateways() if ended == name]
        trouble = self._record_fault(kind, name, planned=planned)
        yield True
        trouble.ended = time.time()
        self._claimed.discard(name)

    async def _kill(self, name: str, start: Callable[[], None]) -> None:
        async with self._claimed_for_fault(name, "kill") as taken:
            if taken:
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
        async with self._claimed_for_fault(name, "stop", planned=True) as taken:
            if taken:
                await self._terminate(name)
                start()

    async def _terminate(self, name: str) -> None:
        """Ask a process to end; one that does not is noted and killed."""
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
        await self._stop(place.name, lambda: self._fleet.start_server(place, silent_leave=silent))

    async def _pause(self, name: str) -> None:
        async with self._claimed_for_fault(name, "pause") as taken:
            if taken:
                self._fleet.signal(name, signal.SIGSTOP)
                await curio.sleep(self._rng.uniform(*FAULT_DURATION_S))
                self._fleet.signal(name, signal.SIGCONT)

    async def _pause_gateway(self) -> None:
        await self._pause(self._pick_gateway().name)

    async def _pause_server(self) -> None:
        await self._pause(self._pick_place().name)

    async def _reload_gateway(self) -> None:
        """Send SIGHUP, now and then over a file that can't be read.

        Only to an instance that has started: settings that can't be read at a start end it, as
        they should, and nothing can be done about a signal before the interpreter runs our code.
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
        trouble = self._record_fault("clock", gateway.name)
        clock = self._fleet.clock_file(gateway)
        clock.write_text(str(self._rng.uniform(-MAX_CLOCK_JUMP_S, MAX_CLOCK_JUMP_S)))
        await self._wait_and_end(trouble)
        clock.write_text("0")

    async def _fail_server(self) -> None:
        place = self._pick_place()
        # Two at once: more of them meet in the seconds of a seed.
        names = self._rng.sample(sorted(SERVER_FAULTS), 2)
        trouble = self._record_fault("+".join(names), place.name)
        await self._fleet.set_faults(place.port, **{name: SERVER_FAULTS[name] for name in names})
        await self._wait_and_end(trouble)
        await self._fleet.set_faults(place.port, **NO_SERVER_FAULTS)

    def _expand_to_service(self, place: Place) -> list[Place]:
        """Return a server, or now and then all of its service."""
        alike = [each for each in self._fleet.places if each.service == place.service]
        return alike if self._by_chance(WHOLE_SERVICE_SHARE) else [place]

    async def _limit_server(self) -> None:
        """Have a server, or all of its service, say how much it takes."""
        places = self._expand_to_service(self._pick_place())
        limit = self._rng.choice(ADVERTISED_LIMITS)
        for each in places:
            await self._fleet.set_faults(each.port, limit=limit)
        await curio.sleep(self._rng.uniform(*SIGNAL_DURATION_S))
        for each in places:
            await self._fleet.set_faults(each.port, limit="")

    async def _back_off_server(self) -> None:
        """Have a server, or all of its service, refuse requests and ask for rest."""
        places = self._expand_to_service(self._pick_place())
        rest_s = self._rng.choice(BACKOFFS_S)
        for each in places:
            await self._fleet.set_faults(each.port, refuses=BACKOFF_REFUSAL_SHARE, rest_s=rest_s)
        await curio.sleep(self._rng.uniform(*SIGNAL_DURATION_S))
        for each in places:
            await self._fleet.set_faults(each.port, refuses=0.0, rest_s=0.0)
        # What it asked for last holds on; nothing is whole before that.
        await curio.sleep(rest_s)

    async def _fail_path(self, proxy: Proxy, kind: str, target: str, *, mutes: bool = True) -> None:
        trouble = self._record_fault(f"{kind}-reset", target)
        if self._by_chance(PATH_RESET_SHARE):
            await proxy.reset()
            trouble.ended = time.time()
            return
        if mutes and self._by_chance(PATH_MUTE_SHARE):
            trouble.kind = f"{kind}-mute"
            proxy.mute()
            trouble.ended = time.time()
            return
        proxy.fault = self._rng.choice([harm for harm in PathFault if harm is not PathFault.NONE])
        trouble.kind = f"{kind}-{proxy.fault.value}"
        await self._wait_and_end(trouble)
        proxy.fault = PathFault.NONE

    async def _fail_store_path(self) -> None:
        gateway = self._pick_gateway()
        await self._fail_path(gateway.store_proxy, "store-path", f"{gateway.name}/store")

    async def _fail_caller_path(self) -> None:
        gateway = self._pick_gateway()
        # What a caller sends on a connection that carries nothing reaches nobody.
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
        trouble = self._record_fault("store-" + next(iter(fault)), "store")
        await self._fleet.set_faults(self._fleet.store_port, **fault)
        await self._wait_and_end(trouble)
        whole = {"down": "", "lapse": False, "delay_s": 0.0, "lose_writes": False, "forget": False}
        await self._fleet.set_faults(self._fleet.store_port, **whole)
        trouble.ended = time.time()
        self._claimed.discard("store")

    async def _publish_configs(self) -> None:
        """Publish a change, or several in quick succession."""
        if not self._try_claim("config"):
            return
        if self._by_chance(CONFIG_RESIZE_SHARE):
            self._fleet.toggle_config_size()
        for _ in range(CONFIG_STORM_LENGTH if self._by_chance(CONFIG_STORM_SHARE) else 1):
            move = self._by_chance(SERVICE_SWITCH_SHARE)
            await self._fleet.publish(
                switch_service=move, revoke_key=self._by_chance(KEY_REVOKE_SHARE)
            )
        self._claimed.discard("config")


Episode = Callable[[FaultInjector], Awaitable[None]]

# What a seed draws from.
EPISODES: dict[str, Episode] = {
    "kill-gateway": FaultInjector._kill_gateway,
    "stop-gateway": FaultInjector._stop_gateway,
    "pause-gateway": FaultInjector._pause_gateway,
    "reload-gateway": FaultInjector._reload_gateway,
    "clock-gateway": FaultInjector._skew_gateway_clock,
    "kill-server": FaultInjector._kill_server,
    "stop-server": FaultInjector._stop_server,
    "pause-server": FaultInjector._pause_server,
    "harm-server": FaultInjector._fail_server,
    "limit-server": FaultInjector._limit_server,
    "rest-server": FaultInjector._back_off_server,
    "path-store": FaultInjector._fail_store_path,
    "path-callers": FaultInjector._fail_caller_path,
    "path-server": FaultInjector._fail_server_path,
    "store": FaultInjector._fail_store,
    "config": FaultInjector._publish_configs,
}
