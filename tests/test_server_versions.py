"""Streams go on only at servers of the software version that began them."""

from __future__ import annotations

import curio
import pytest

from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._stream_origin_messages import StreamOriginResponse
from platform_fakes import HOST, make_config
from version_fleet import (
    EVENT_INTERVAL_S,
    SPLIT,
    CallerStream,
    VersionFleet,
    lost_datagrams,
    silenced,
)

LONG = {"x_token_count": "1000,900", "length_hint": "500"}
TWO_VERSIONS = {"v1": 2, "v1.1": 4}


class TestResumedByInstance:
    """The instance resumes a broken stream within one answer."""

    def test_stream_continues_at_the_version_that_began_it(self) -> None:
        """Most other servers run another version; whole streams earn the budget to resume."""
        fleet = VersionFleet(instances=1, engines=TWO_VERSIONS)
        streams = [CallerStream() for _ in range(12)]

        async def scenario() -> None:
            for number, stream in enumerate(streams):
                for other in range(16):
                    await fleet.attempt(
                        CallerStream(), fleet.harness, f"o{number}-{other}", "/resumed/a"
                    )
                await fleet.attempt(stream, fleet.harness, f"q{number}", "/resumed/cut")

        fleet.run(scenario)
        assert all(stream.is_whole for stream in streams)

    def test_stream_without_a_server_of_its_version_is_broken_off(self) -> None:
        """The last other server of the version is gone."""
        fleet = VersionFleet(instances=1, engines={"v1": 1, "v1.1": 3})
        stream = CallerStream()

        async def scenario() -> None:
            await fleet.prefer("v1")
            task = await curio.spawn(
                fleet.attempt, stream, fleet.harness, "q1", "/resumed/cut", daemon=True
            )
            while not fleet.of_version("v1")[0].executed_ids:
                await curio.sleep(0.1 * EVENT_INTERVAL_S)
            for engine in fleet.of_version("v1.1"):
                engine.free_reservations = 100
            await task.join()

        fleet.run(scenario)
        assert (stream.versions, stream.complete) == ({"v1"}, False)


class TestTakenUpByCaller:
    """The caller takes a broken stream up at another instance."""

    @pytest.mark.parametrize("path", ["/taken/cut", "/plain/cut"])
    def test_stream_continues_at_the_version_that_began_it(self, path: str) -> None:
        """The other instance did not relay its beginning."""
        fleet = VersionFleet(engines=TWO_VERSIONS, plain=TWO_VERSIONS)
        streams: list[CallerStream] = []

        async def scenario() -> None:
            for number in range(20):
                streams.append(await fleet.begin_and_take_up(number, path))

        fleet.run(scenario)
        assert all(stream.is_whole for stream in streams)
        assert {frozenset(stream.versions) for stream in streams} == {
            frozenset({"v1"}),
            frozenset({"v1.1"}),
        }

    def test_stream_continues_after_the_deadline_of_its_first_attempt(self) -> None:
        """Each attempt has a deadline of its own; the version was forgotten with the first one."""
        fleet = VersionFleet(engines=TWO_VERSIONS)
        streams = [CallerStream() for _ in range(8)]

        async def scenario() -> None:
            for number, stream in enumerate(streams):
                await fleet.attempt(
                    stream, fleet.gateways[0], f"q{number}", "/taken/cut", x_deadline_ms="7000"
                )
                assert (stream.status, stream.complete) == (200, False)
            await curio.sleep(8.0)
            for number, stream in enumerate(streams):
                begun_as = f"q{number}"
                await fleet.take_up(
                    stream, fleet.gateways[1], f"r{number}", "/taken/cut", begun_as=begun_as
                )

        fleet.run(scenario)
        assert [stream.status for stream in streams] == [200] * len(streams)
        assert all(stream.is_whole for stream in streams)

    @pytest.mark.parametrize("instance", [0, 1])
    def test_stream_of_a_killed_instance_continues_at_its_version(self, instance: int) -> None:
        """It is taken up at the restarted instance or at another one."""
        fleet = VersionFleet(engines=TWO_VERSIONS)
        streams = [CallerStream() for _ in range(12)]

        async def scenario() -> None:
            await fleet.begin_and_kill(streams, fleet.gateways[:1])
            await curio.sleep(1.0)
            assert not any(stream.complete for stream in streams)
            for number, stream in enumerate(streams):
                if stream.body:
                    await fleet.take_up(
                        stream,
                        fleet.gateways[instance],
                        f"r{number}",
                        "/taken/a",
                        begun_as=f"q{number}",
                    )

        fleet.run(scenario)
        taken_up = [stream for stream in streams if stream.body]
        assert len(taken_up) == len(streams)
        assert all(stream.is_whole for stream in taken_up)

    @pytest.mark.parametrize("loss", [0.0, 0.3])
    def test_stream_of_two_killed_instances_continues_at_its_version(self, loss: float) -> None:
        """The one that began it and another one are killed; datagrams are lost."""
        fleet = VersionFleet(instances=5, engines=TWO_VERSIONS)
        streams = [CallerStream() for _ in range(30)]

        async def scenario() -> None:
            await fleet.begin_and_kill(streams, fleet.gateways[:2])
            for number, stream in enumerate(streams):
                gateway = fleet.gateways[2 + number % 3]
                begun_as = f"q{number}"
                await fleet.take_up(stream, gateway, f"r{number}", "/taken/a", begun_as=begun_as)

        with lost_datagrams(loss):
            fleet.run(scenario)
        assert all(len(stream.versions) == 1 for stream in streams)
        went_on = sum(stream.is_whole for stream in streams)
        # Of the streams that are taken up, half as many as of new ones have to go on.
        assert went_on >= (len(streams) if not loss else 0.5 * len(streams))

    def test_stream_that_begins_anew_can_be_taken_up_itself(self) -> None:
        """Its caller named an attempt that had brought no event."""
        fleet = VersionFleet(engines=TWO_VERSIONS)
        streams = [CallerStream() for _ in range(8)]

        async def scenario() -> None:
            for number, stream in enumerate(streams):
                begun_as = f"q{number}"
                await fleet.attempt(stream, fleet.harness, begun_as, "/taken/cut", resumes="none")
                await fleet.take_up(
                    stream, fleet.gateways[1], f"r{number}", "/taken/cut", begun_as=begun_as
                )

        fleet.run(scenario)
        assert all(stream.is_whole for stream in streams)

    def test_second_take_up_names_the_attempt_that_began_the_stream(self) -> None:
        """An attempt between the first and the last one changes nothing."""
        fleet = VersionFleet(engines={"v1": 2, "v1.1": 6})
        streams: list[CallerStream] = []

        async def scenario() -> None:
            await fleet.prefer("v1")
            for number in range(6):
                stream = await fleet.begin_and_take_up(number, "/taken/cut")
                first, *rest = stream.body.partition(b"id: 5")
                assert rest
                stream.body = first
                streams.append(stream)
            await fleet.accept_all()
            for number, stream in enumerate(streams):
                await fleet.take_up(
                    stream, fleet.gateways[2], f"s{number}", "/taken/cut", begun_as=f"q{number}"
                )

        fleet.run(scenario)
        assert all(stream.is_whole and stream.versions == {"v1"} for stream in streams)


class TestSilentInstances:
    """Instances that run, but that others cannot reach, or that do not respond."""

    def test_stream_of_an_instance_that_is_cut_off_continues_at_its_version(self) -> None:
        """The holders remember what began it; half of the streams begin at either version."""
        fleet = VersionFleet(instances=5, engines=TWO_VERSIONS)
        streams = [CallerStream() for _ in range(12)]
        cut_off = f"{HOST}:{fleet.harness.peer_port}"
        is_cut = False

        def is_silent(messenger: PeerMessenger, address: str, message: object) -> bool:
            return is_cut and cut_off in (messenger._address, address)

        async def scenario() -> None:
            nonlocal is_cut
            for number, stream in enumerate(streams):
                await fleet.prefer(("v1", "v1.1")[number % 2])
                await fleet.attempt(stream, fleet.harness, f"q{number}", "/taken/cut")
            await fleet.accept_all()
            is_cut = True
            for number, stream in enumerate(streams):
                gateway = fleet.gateways[1 + number % 4]
                begun_as = f"q{number}"
                await fleet.take_up(stream, gateway, f"r{number}", "/taken/cut", begun_as=begun_as)

        with silenced(is_silent):
            fleet.run(scenario)
        assert all(stream.is_whole for stream in streams)
        assert {version for stream in streams for version in stream.versions} == {"v1", "v1.1"}

    def test_stream_whose_holders_are_silent_is_never_mixed(self) -> None:
        """It goes on if the instance that began it is among those that are asked."""
        fleet = VersionFleet(instances=5, engines=TWO_VERSIONS)
        streams = {f"q{number}": CallerStream() for number in range(12)}
        began = f"{HOST}:{fleet.harness.peer_port}"

        def is_silent(messenger: PeerMessenger, address: str, message: object) -> bool:
            is_response = isinstance(message, StreamOriginResponse)
            return is_response and messenger._address != began

        async def scenario() -> None:
            await fleet.prefer("v1")
            for ident, stream in streams.items():
                await fleet.attempt(stream, fleet.harness, ident, "/taken/cut")
            await fleet.accept_all()
            for ident, stream in streams.items():
                # Engines that break streams off are avoided for a while, so some do not begin.
                if stream.body:
                    taker, path = fleet.gateways[1], "/taken/cut"
                    await fleet.take_up(stream, taker, f"r-{ident}", path, begun_as=ident)

        with silenced(is_silent):
            fleet.run(scenario)
        taken_up = [stream for stream in streams.values() if stream.body]
        assert all(stream.versions == {"v1"} for stream in taken_up)
        assert all(stream.is_whole or stream.status == 503 for stream in taken_up)
        assert any(stream.is_whole for stream in taken_up)

    def test_stream_of_which_nobody_tells_is_refused_at_once(self) -> None:
        """All other instances are silent, and the versions mix."""
        fleet = VersionFleet(instances=5, engines=TWO_VERSIONS)
        stream = CallerStream(body=b"id: 3\ndata: v1\n\n")
        took_s: list[float] = []

        async def scenario() -> None:
            began_at = await curio.clock()
            await fleet.take_up(stream, fleet.harness, "r1", "/taken/a", begun_as="unknown")
            took_s.append(await curio.clock() - began_at)

        with silenced(lambda _, __, message: isinstance(message, StreamOriginResponse)):
            fleet.run(scenario)
        assert (stream.status, stream.versions) == (503, {"v1"})
        assert took_s[0] < 0.5
        assert not any(engine.executed_ids for engine in fleet.engines)


class TestRollout:
    """Servers of one version leave one after the other while another version serves."""

    def test_streams_are_taken_up_as_often_as_new_ones_are_served(self) -> None:
        """Of the streams that are taken up, at least half as many go on as new ones are served."""
        fleet = VersionFleet(engines={"v1": 4, "v1.1": 4})
        taken_up: list[CallerStream] = []
        new = [CallerStream() for _ in range(30)]

        async def scenario() -> None:
            for number in range(30):
                if number % 10 == 9:
                    leaving = fleet.of_version("v1")[number // 10]
                    await fleet.harness.store.remove(f"servers/{leaving.incarnation_id}")
                taken_up.append(await fleet.begin_and_take_up(number, "/taken/cut"))
                gateway = fleet.gateways[number % 3]
                await fleet.attempt(new[number], gateway, f"n{number}", "/taken/a")

        fleet.run(scenario)
        assert all(len(stream.versions) == 1 for stream in taken_up)
        assert {version for stream in taken_up for version in stream.versions} == {"v1", "v1.1"}
        served = sum(stream.is_whole for stream in new)
        assert sum(stream.is_whole for stream in taken_up) >= 0.5 * served > 0


class TestCoordinatedPlacement:
    """The answers are so long that a coordinator places them."""

    def test_coordinator_grants_engines_of_the_version_only(self) -> None:
        """No grant of another version is turned down by the instance that asked."""
        fleet = VersionFleet(instances=2, engines={"v1": 2, "v1.1": 6})
        streams: list[CallerStream] = []

        async def scenario() -> None:
            for number in range(24):
                gateway = fleet.gateways[number % 2]
                await fleet.attempt(CallerStream(), gateway, f"w{number}", "/taken/a", **LONG)
            await curio.sleep(3.0)
            for number in range(10):
                stream, begun_as = CallerStream(), f"q{number}"
                await fleet.attempt(stream, fleet.harness, begun_as, "/taken/cut", **LONG)
                last_event_id = stream.last_event_id
                await fleet.attempt(
                    stream,
                    fleet.gateways[1],
                    f"r{number}",
                    "/taken/cut",
                    resumes=begun_as,
                    last_event_id=last_event_id,
                    **LONG,
                )
                streams.append(stream)

        fleet.run(scenario)
        assert all(stream.is_whole for stream in streams)
        granted = [
            line
            for gateway in fleet.gateways
            for line in gateway.logs.matching("event=placement_granted")
        ]
        placed = [
            line
            for gateway in fleet.gateways
            for line in gateway.logs.matching("event=place_taken", "run=")
        ]
        assert len(placed) >= 20
        assert len(granted) == len(placed)


class TestSplitRoute:
    """A route whose streams go to two services; servers of both have the same version."""

    def test_stream_continues_at_the_service_that_began_it(self) -> None:
        """The split is drawn for new streams only."""
        fleet = VersionFleet(plain={"v1": 2}, fragile={"v1": 2})

        async def scenario() -> None:
            for number in range(20):
                stream = await fleet.begin_and_take_up(number, "/split/cut")
                assert stream.is_whole

        fleet.run(scenario)
        begun, taken_up = (
            {
                ident[1:]: server.service
                for server in (*fleet.plain, *fleet.fragile)
                for ident in server.executed_ids
                if ident.startswith(kind)
            }
            for kind in ("q", "r")
        )
        assert set(begun.values()) == {"plain", "fragile"}
        assert taken_up == begun

    def test_stream_is_refused_if_its_service_may_not_run_it_any_more(self) -> None:
        """A new configuration sends the route to the other service."""
        fleet = VersionFleet(plain={"v1": 2}, fragile={"v1": 2})
        streams: list[CallerStream] = []

        async def scenario() -> None:
            for number in range(6):
                stream = CallerStream()
                await fleet.attempt(stream, fleet.harness, f"q{number}", "/split/cut")
                streams.append(stream)
            only_plain = {**SPLIT, "traffic_split": [{"service": "plain", "weight": 1}]}
            await fleet.harness.store.put("op/config", make_config(2, only_plain))
            await curio.sleep(1.0)
            for number, stream in enumerate(streams):
                begun_as, gateway = f"q{number}", fleet.gateways[1]
                await fleet.take_up(stream, gateway, f"r{number}", "/split/cut", begun_as=begun_as)

        fleet.run(scenario)
        begun_at_plain = {ident for server in fleet.plain for ident in server.executed_ids}
        for number, stream in enumerate(streams):
            went_on = f"q{number}" in begun_at_plain
            assert stream.status == (200 if went_on else 503)
        assert not any(
            ident.startswith("r") for server in fleet.fragile for ident in server.executed_ids
        )


class TestRefusedTakeUp:
    """A stream that cannot go on at its version is refused, and the refusal is true."""

    def test_stream_whose_version_is_gone_is_refused_at_once(self) -> None:
        """The rollout has replaced all servers of the version."""
        fleet = VersionFleet(engines=TWO_VERSIONS)
        stream = CallerStream()
        took_s: list[float] = []

        async def scenario() -> None:
            await fleet.prefer("v1")
            await fleet.attempt(stream, fleet.harness, "q1", "/taken/cut")
            for engine in fleet.of_version("v1"):
                await fleet.harness.store.remove(f"servers/{engine.incarnation_id}")
            await fleet.accept_all()
            began_at = await curio.clock()
            await fleet.take_up(stream, fleet.gateways[1], "r1", "/taken/cut", begun_as="q1")
            took_s.append(await curio.clock() - began_at)

        fleet.run(scenario)
        assert (stream.status, stream.versions) == (503, {"v1"})
        assert "retry-after" in (stream.fields or {})
        assert not any("r1" in engine.executed_ids for engine in fleet.engines)
        assert took_s[0] < 0.5

    def test_stream_that_no_instance_knows_is_refused_while_versions_mix(self) -> None:
        """Its version cannot be told, so no server may continue it."""
        fleet = VersionFleet(engines=TWO_VERSIONS)
        stream = CallerStream(body=b"id: 3\ndata: v1\n\n")

        async def scenario() -> None:
            await fleet.take_up(stream, fleet.harness, "r1", "/taken/a", begun_as="unknown")

        fleet.run(scenario)
        assert (stream.status, stream.versions) == (503, {"v1"})
        assert not any(engine.executed_ids for engine in fleet.engines)


class TestUnknownStream:
    """Streams of which no instance knows the beginning, while nothing can be mixed."""

    def test_unknown_stream_goes_on_while_one_version_serves(self) -> None:
        """There is no other version that could have begun it."""
        fleet = VersionFleet(engines={"v1": 3})
        stream = CallerStream(body=b"id: 3\ndata: v1\n\n")

        async def scenario() -> None:
            await curio.sleep(60.0)
            await fleet.take_up(stream, fleet.harness, "r1", "/taken/a", begun_as="unknown")

        fleet.run(scenario)
        assert (stream.status, stream.complete, stream.last_event_id) == (200, True, "8")

    @pytest.mark.parametrize(("engines", "status"), [({"v1": 3}, 200), (TWO_VERSIONS, 503)])
    def test_stream_is_taken_up_after_all_instances_were_killed(
        self, engines: dict[str, int], status: int
    ) -> None:
        """The records in the store show whether versions mixed before."""
        fleet = VersionFleet(engines=engines)
        stream = CallerStream()

        async def scenario() -> None:
            await fleet.attempt(stream, fleet.harness, "q1", "/taken/cut")
            for gateway in fleet.gateways:
                await gateway.kill_gateway()
            await curio.sleep(1.0)
            await fleet.take_up(stream, fleet.gateways[1], "r1", "/taken/cut", begun_as="q1")

        fleet.run(scenario)
        assert (stream.status, len(stream.versions)) == (status, 1)
        ran = [engine for engine in fleet.engines if "r1" in engine.executed_ids]
        assert len(ran) == (1 if status == 200 else 0)

    def test_version_that_has_just_gone_may_have_begun_an_unknown_stream(self) -> None:
        """All servers of the old version are gone when the instances are killed."""
        fleet = VersionFleet(engines=TWO_VERSIONS)
        fleet.prefill_engine.version = "v1.1"
        stream = CallerStream()

        async def scenario() -> None:
            await fleet.prefer("v1")
            await fleet.attempt(stream, fleet.harness, "q1", "/taken/cut")
            for engine in fleet.of_version("v1"):
                await fleet.harness.store.remove(f"servers/{engine.incarnation_id}")
            await fleet.accept_all()
            for gateway in fleet.gateways:
                await gateway.kill_gateway()
            await curio.sleep(1.0)
            await fleet.take_up(stream, fleet.gateways[1], "r1", "/taken/cut", begun_as="q1")

        fleet.run(scenario)
        assert (stream.status, stream.versions) == (503, {"v1"})

    def test_instance_whose_list_is_old_does_not_know_the_only_version(self) -> None:
        """A server of another version may have come since the store responded last."""
        fleet = VersionFleet(engines={"v1": 3})
        stream = CallerStream(body=b"id: 3\ndata: v1\n\n")

        async def scenario() -> None:
            await curio.sleep(60.0)
            fleet.harness.store.down = True
            await curio.sleep(6.0)
            await fleet.take_up(stream, fleet.harness, "r1", "/taken/a", begun_as="unknown")

        fleet.run(scenario)
        assert (stream.status, stream.last_event_id) == (503, "3")

    def test_stream_goes_on_if_its_caller_does_not_say_who_began_it(self) -> None:
        """Callers of other deployments name no attempt."""
        fleet = VersionFleet(engines=TWO_VERSIONS)
        stream = CallerStream(body=b"id: 3\ndata: v1\n\n")

        async def scenario() -> None:
            await fleet.attempt(stream, fleet.harness, "r1", "/taken/a", last_event_id="3")

        fleet.run(scenario)
        assert (stream.status, stream.complete) == (200, True)
