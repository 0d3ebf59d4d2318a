"""Tests of moves of runs between engines; each failure of a move has its own test."""

from __future__ import annotations

import random
import socket

import curio
import msgspec
import pytest

from crankhinge.errors import HttpClosed
from crankhinge.gateway.migration import MoveOutcome
from crankhinge.gateway.placement._messages import GroupKey, RunMoveOrder, to_counter
from crankhinge.http import Exchange
from crankhinge_standins import replica
from crankhinge_standins.replica import EVENT_INTERVAL_S, KV_HANDLE_TTL_S, make_events
from moving_engines import (
    ANSWER,
    EVENTS,
    IDENT,
    MoveHandler,
    MoveHarness,
    MovingEngine,
    die,
    mute,
    obey,
    obey_and_mute,
)
from platform_fakes import HOST

WHOLE = (200, ANSWER, "")


async def refuse(engine: MovingEngine, exchange: Exchange) -> None:
    """Refuse a request and state that it was not run."""
    await engine._refuse(exchange, 503)


async def crash(engine: MovingEngine, exchange: Exchange) -> None:
    """End the engine's process."""
    await engine.crash()


def assert_broken_off(result: tuple[int, bytes, str]) -> None:
    """Check that the caller got whole events in order, and then an error."""
    status, body, error = result
    assert status == 200
    assert error
    assert ANSWER.startswith(body)
    assert body.endswith(b"\n\n")
    assert body != ANSWER


class TestMove:
    """A run is moved and its caller sees one stream."""

    def test_caller_sees_each_event_once_and_one_head(self) -> None:
        """The stream continues at the target; the move costs neither an attempt nor the budget."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            source, target = harness.source, harness.target
            assert await harness.move() is MoveOutcome.MOVED
            assert harness.stream.server.name == target.ident
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident, target.ident]
            assert source.move_calls == [False, True]
            await curio.sleep(0.01)
            assert harness.gateway.logs.matching("event=run_move_started", f"request={IDENT}")
            assert harness.gateway.logs.matching("event=run_moved", f"request={IDENT}")
            [answered] = harness.gateway.logs.matching("event=answered", f"request={IDENT}")
            assert "sent=1" in answered
            assert "moves=1" in answered
            await harness.assert_all_free()

        harness.run(scenario)

    def test_event_that_is_cut_by_the_stop_is_sent_once(self) -> None:
        """The part of an event is dropped, and the target sends the event again."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            harness.source.fragment = True
            assert await harness.move() is MoveOutcome.MOVED
            assert await caller.join() == WHOLE

        harness.run(scenario)

    @pytest.mark.parametrize("events", [0.0, 0.5, 1.0, 7.3, 15.9])
    def test_run_is_moved_there_and_back(self, events: float) -> None:
        """A run may be moved again, at any time after its response has begun."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin(events=events)
            source = harness.source
            assert await harness.move() is MoveOutcome.MOVED
            await curio.sleep(EVENT_INTERVAL_S)
            assert await harness.move() is MoveOutcome.MOVED
            assert harness.source is source
            assert await caller.join() == WHOLE
            assert len(harness.work.starts[IDENT]) == 3
            await harness.assert_all_free()

        harness.run(scenario)

    def test_memory_is_counted_at_the_engine_where_the_run_is(self) -> None:
        """The choice of engines would otherwise avoid the source and overload the target."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            assert harness.migrator is not None
            stats = [
                harness.migrator._backends.stats(harness.server_of(engine).incarnation_id)
                for engine in (harness.source, harness.target)
            ]
            before = [stat.reserved_tokens for stat in stats]
            assert await harness.move() is MoveOutcome.MOVED
            assert [stat.reserved_tokens for stat in stats] == before[::-1]
            await caller.join()
            assert [stat.reserved_tokens for stat in stats] == [0, 0]

        harness.run(scenario)

    def test_copy_over_a_slow_link_is_waited_for(self) -> None:
        """At 100 Mbit/s, 100 tokens of 18.432 KB take 0.15 s, which the call needs in addition."""
        harness = MoveHarness(link_mbps=100.0)

        async def scenario() -> None:
            caller = await harness.begin()
            source = harness.source
            source.faults.slow = 10.0

            async def slow(engine: MovingEngine, exchange: Exchange, order: object) -> None:
                await curio.sleep(0.5)
                await obey(engine, exchange, order)  # type: ignore[arg-type]

            source.first = slow
            assert await harness.move() is MoveOutcome.MOVED
            assert await caller.join() == WHOLE

        harness.run(scenario)

    def test_stop_is_no_failure_of_the_source(self) -> None:
        """The source did as it was asked: it must not be avoided, nor suspected of a crash."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            assert harness.migrator is not None
            backends = harness.migrator._backends
            stats = backends.stats(harness.server_of(harness.source).incarnation_id)
            assert await harness.move() is MoveOutcome.MOVED
            assert await caller.join() == WHOLE
            assert (stats.failure_share, stats.open_requests) == (0.0, 0)
            assert not harness.gateway.logs.matching("event=request_cut")

        harness.run(scenario)

    def test_moved_run_uses_the_copy_and_not_the_cache_of_the_prompt(self) -> None:
        """Kv-From names the prompt engine in the first attempt, and the source in the second."""
        harness = MoveHarness()
        prompt_engine = harness.gateway.add_replica("i-r", "llm", "prefill")
        locations = []

        async def record(engine: MovingEngine, exchange: Exchange) -> None:
            locations.append(exchange.req.headers["kv-from"])
            await super(MovingEngine, engine)._run_decode(exchange)

        for engine in harness.engines:
            engine.on_continue = record

        async def scenario() -> None:
            caller = await harness.begin()
            source = harness.stream.server
            assert await harness.move() is MoveOutcome.MOVED
            assert await caller.join() == WHOLE
            assert locations[0] == f"127.0.0.1:{prompt_engine.port}/h1"
            assert locations[1].startswith(f"{source.host}:{source.port}/m")
            assert prompt_engine.side_calls == ["DELETE /v1/kv-handle/h1"]

        harness.run(scenario)

    def test_nothing_is_moved_without_moves_in_the_configuration(self) -> None:
        """A deployment without moves is served as before."""
        harness = MoveHarness(moves=False)

        async def scenario() -> None:
            caller = await harness.begin()
            source = harness.source
            assert not harness.stream.movable
            assert await harness.move() is MoveOutcome.NOT_MOVABLE
            source.leave()
            assert await caller.join() == WHOLE
            assert source.move_calls == []

        harness.run(scenario)


class TestRunGoesOnAtSource:
    """Failures after which the source goes on as if nothing had been tried."""

    def test_no_room_at_the_target(self) -> None:
        """A target without room refuses the first call."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            source = harness.source
            harness.target.occupy()
            assert await harness.move() is MoveOutcome.NO_ROOM
            assert harness.stream.movable
            assert await caller.join() == WHOLE
            assert source.move_calls == [False]
            await harness.assert_all_free()

        harness.run(scenario)

    def test_no_answer_to_the_first_call(self) -> None:
        """The copy is freed, although only a repeated call tells its handle."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin(events=0.5)
            source = harness.source
            source.first = obey_and_mute
            source.faults.slow = 5.0

            async def recover() -> None:
                await curio.sleep(0.1)
                source.first = obey

            await curio.spawn(recover, daemon=True)
            assert await harness.move() is MoveOutcome.NO_ANSWER
            assert source.move_calls == [False, False]
            await curio.sleep(0.05)
            assert source.freed == ["m1"]
            assert harness.target.held == 0
            source.faults.slow = 1.0
            assert await caller.join() == WHOLE
            await harness.assert_all_free()

        harness.run(scenario)

    def test_first_call_is_lost(self) -> None:
        """Without any answer there is nothing to free, and the run goes on."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin(events=0.5)
            harness.source.first = mute
            harness.source.faults.slow = 5.0
            assert await harness.move() is MoveOutcome.NO_ANSWER
            assert await caller.join() == WHOLE
            await harness.assert_all_free()

        harness.run(scenario)

    def test_last_call_is_lost(self) -> None:
        """The source still sends, so the run is not continued elsewhere, and the copy is freed."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin(events=0.5)
            source, target = harness.source, harness.target
            source.last = mute
            source.faults.slow = 5.0
            assert await harness.move() is MoveOutcome.NO_ANSWER
            await curio.sleep(0.05)
            assert source.freed == ["m1"]
            assert target.held == 0
            source.faults.slow = 1.0
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident]
            await harness.assert_all_free()

        harness.run(scenario)

    def test_caller_does_not_read(self) -> None:
        """A run is not stopped while nothing would read the end of its stream."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            source = harness.source
            source.faults.slow = 10.0
            await curio.sleep(2 * EVENT_INTERVAL_S)
            harness.stream.is_writing = True
            assert await harness.move() is MoveOutcome.NOT_MOVABLE
            await curio.sleep(0.01)
            assert (source.move_calls, source.freed) == ([False], ["m1"])
            source.faults.slow = 1.0
            assert await caller.join() == WHOLE
            await harness.assert_all_free()

        harness.run(scenario)

    def test_second_mover_gives_up(self) -> None:
        """An engine answers 409 to the second; this instance declines a second move by itself."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            run, source = harness.stream, harness.source
            source._moves.runs[IDENT].moving = True
            assert await harness.move() is MoveOutcome.IN_PROGRESS
            source._moves.runs[IDENT].moving = False
            first = await curio.spawn(harness.move)
            await curio.sleep(0)
            assert run.handover is not None
            assert await harness.move() is MoveOutcome.NOT_MOVABLE
            assert await first.join() is MoveOutcome.MOVED
            assert await caller.join() == WHOLE
            await harness.assert_all_free()

        harness.run(scenario)

    def test_conflict_at_the_last_call_frees_the_copy(self) -> None:
        """Another mover began between the calls; its copy is not this one."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            source = harness.source
            source.last = conflict
            assert await harness.move() is MoveOutcome.IN_PROGRESS
            await curio.sleep(0.01)
            assert source.freed == ["m1"]
            assert await caller.join() == WHOLE
            await harness.assert_all_free()

        harness.run(scenario)

    def test_target_that_cannot_be_reached(self) -> None:
        """The source has no path to the target, so the run never stops."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            target = harness.target
            server = harness.server_of(target)
            await target._crashed.set()
            await curio.sleep(0.001)
            assert harness.migrator is not None
            assert await harness.migrator.move(harness.stream, server) is MoveOutcome.NO_ROOM
            assert await caller.join() == WHOLE
            await harness.assert_all_free()

        harness.run(scenario)


class TestRunContinuesFromCopy:
    """Failures after which another engine, or the source, continues the run."""

    def test_no_answer_to_the_last_call_but_the_source_has_stopped(self) -> None:
        """The source's stream is closed without its end, so the target continues the run."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            source, target = harness.source, harness.target
            source.last = obey_and_mute
            assert await harness.move() is MoveOutcome.MOVED
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident, target.ident]
            await harness.assert_all_free()

        harness.run(scenario)

    def test_target_without_room_at_the_last_call(self) -> None:
        """The source has stopped the run and takes it back with the handle of the refusal."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            source, target = harness.source, harness.target

            async def lose_copy(engine: MovingEngine, exchange: Exchange, order: object) -> None:
                target._moves.release(f"{source._advertised_address}/m1")
                target.occupy()
                await obey(engine, exchange, order)  # type: ignore[arg-type]

            source.last = lose_copy
            assert await harness.move() is MoveOutcome.RETURNED
            assert harness.stream.server.name == source.ident
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident, source.ident]
            await harness.assert_all_free()

        harness.run(scenario)

    def test_target_refuses_the_request(self) -> None:
        """A refusal has not used the handle, so the source continues the run."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            source, target = harness.source, harness.target
            target.on_continue = refuse
            assert await harness.move() is MoveOutcome.RETURNED
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident, source.ident]
            assert target.held == 0
            await harness.assert_all_free()

        harness.run(scenario)

    def test_target_dies_before_it_continues_the_run(self) -> None:
        """The source keeps the memory until the target has asked for it."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            source, target = harness.source, harness.target
            target.on_continue = crash
            assert await harness.move() is MoveOutcome.RETURNED
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident, source.ident]
            await harness.assert_all_free()

        harness.run(scenario)

    def test_source_breaks_the_stream_off_between_the_calls(self) -> None:
        """The copy of the first call is enough to continue the run at the target."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            source, target = harness.source, harness.target

            async def break_off(engine: MovingEngine, exchange: Exchange, order: object) -> None:
                await source._moves.runs[IDENT].stopping.set()
                await exchange.wait_for_disconnect()

            source.last = break_off
            assert await harness.move() is MoveOutcome.MOVED
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident, target.ident]
            await harness.assert_all_free()

        harness.run(scenario)


class TestBrokenStream:
    """Failures after which only a resumable route may start again."""

    @pytest.mark.parametrize("path", ["/stream/a", "/resumed/a"])
    @pytest.mark.parametrize("call", ["first", "last"])
    def test_source_dies(self, path: str, call: str) -> None:
        """No engine can vouch for the copy of a dead source; the answer is made again or cut."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin(path)
            source, target = harness.source, harness.target
            setattr(source, call, die)
            assert await harness.move() in (MoveOutcome.BROKEN, MoveOutcome.ENDED)
            result = await caller.join()
            if path == "/resumed/a":
                assert result == WHOLE
                assert harness.work.starts[IDENT] == [source.ident, target.ident]
            else:
                assert_broken_off(result)
                assert harness.work.starts[IDENT] == [source.ident]
            await harness.assert_all_free()

        harness.run(scenario)

    @pytest.mark.parametrize("path", ["/stream/a", "/resumed/a"])
    def test_suspension_until_the_handle_has_expired(self, path: str) -> None:
        """Both engines refuse the handle and have not run the request."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin(path)
            source = harness.source
            migrator = harness.migrator
            assert migrator is not None
            side_call = migrator._backends.side_call

            async def suspended(server: object, call: object, **options: object) -> object:
                response = await side_call(server, call, **options)  # type: ignore[arg-type]
                if b'"last":true' in getattr(call, "body", b""):
                    await curio.sleep(KV_HANDLE_TTL_S + 0.2)
                return response

            migrator._backends.side_call = suspended  # type: ignore[method-assign, assignment]
            assert await harness.move() is MoveOutcome.BROKEN
            result = await caller.join()
            if path == "/resumed/a":
                assert result == WHOLE
                assert len(harness.work.starts[IDENT]) == 2
            else:
                assert_broken_off(result)
                assert harness.work.starts[IDENT] == [source.ident]
            await harness.assert_all_free()

        harness.run(scenario)

    def test_malformed_stream_is_no_proof_of_a_stop(self) -> None:
        """The call that stops the run is still in progress, so no engine is asked meanwhile."""
        harness = MoveHarness()

        async def garble(engine: MovingEngine, exchange: Exchange, order: object) -> None:
            assert engine.exchange is not None
            await engine.exchange._conn.send(b"no chunk\r\n")
            await exchange.wait_for_disconnect()

        async def scenario() -> None:
            caller = await harness.begin()
            source = harness.source
            source.last = garble
            assert await harness.move() is MoveOutcome.ENDED
            assert_broken_off(await caller.join())
            assert harness.work.starts[IDENT] == [source.ident]
            await harness.assert_all_free()

        harness.run(scenario)

    def test_both_engines_refuse(self) -> None:
        """On a route that is not repeatable the stream is cut, and nothing runs twice."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            source = harness.source
            for engine in harness.engines:
                engine.on_continue = refuse
            assert await harness.move() is MoveOutcome.BROKEN
            assert_broken_off(await caller.join())
            assert harness.work.starts[IDENT] == [source.ident]
            await harness.assert_all_free()

        harness.run(scenario)


class TestEndDuringMove:
    """The run or its caller ends while the run is being moved."""

    @pytest.mark.parametrize("call", ["first", "last"])
    @pytest.mark.parametrize("framed", [True, False])
    def test_run_ends_while_a_call_is_in_progress(self, framed: bool, call: str) -> None:
        """The answer is whole, no engine continues it, and the copy is freed."""
        harness = MoveHarness(framed=framed)

        async def scenario() -> None:
            caller = await harness.begin(events=len(EVENTS) - 3.5)
            source = harness.source

            async def wait_for_end(engine: MovingEngine, exchange: Exchange, order: object) -> None:
                if call == "first":
                    await engine.copy_run(order)  # type: ignore[arg-type]
                await curio.sleep(5 * EVENT_INTERVAL_S)
                if call == "first":
                    await exchange.respond(200, b'{"kv_handle": "m1", "made": 1}')
                else:
                    await exchange.respond(404, b"{}")

            setattr(source, call, wait_for_end)
            assert await harness.move() is MoveOutcome.ENDED
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident]
            await curio.sleep(0.01)
            assert source.freed == ["m1"]
            assert [engine.held for engine in harness.engines] == [0, 0]
            await harness.assert_all_free()

        harness.run(scenario)

    @pytest.mark.parametrize("call", ["first", "last"])
    def test_caller_leaves_while_a_call_is_in_progress(self, call: str) -> None:
        """Both ends of the copy are freed at once, not when they lapse."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            source = harness.source

            async def slow(engine: MovingEngine, exchange: Exchange, order: object) -> None:
                status, answer = await engine.copy_run(order)  # type: ignore[arg-type]
                await curio.sleep(0.1)
                await exchange.respond(status, msgspec.json.encode(answer))

            setattr(source, call, slow)
            mover = await curio.spawn(harness.move)
            await curio.sleep(0.05)
            await caller.cancel()
            assert await mover.join() is MoveOutcome.ENDED
            await curio.sleep(0.05)
            assert [engine.held for engine in harness.engines] == [0, 0]
            await harness.assert_all_free()

        harness.run(scenario)

    def test_caller_leaves_while_the_target_is_asked(self) -> None:
        """The target's copy and the source's memory are freed at once."""
        harness = MoveHarness()

        async def wait(engine: MovingEngine, exchange: Exchange) -> None:
            await exchange.wait_for_disconnect()
            raise HttpClosed("gone")

        async def scenario() -> None:
            caller = await harness.begin()
            harness.target.on_continue = wait
            mover = await curio.spawn(harness.move)
            await curio.sleep(0.1)
            assert [engine.held > 0 for engine in harness.engines] == [True, True]
            await caller.cancel()
            assert await mover.join() is MoveOutcome.ENDED
            await curio.sleep(0.05)
            assert [engine.held for engine in harness.engines] == [0, 0]
            await harness.assert_all_free()

        harness.run(scenario)


async def conflict(engine: MovingEngine, exchange: Exchange, order: object) -> None:
    """Respond that another call copies the run."""
    await exchange.respond(409, b"{}")


async def fail(engine: MovingEngine, exchange: Exchange, order: object) -> None:
    """Respond with a status that the call does not have."""
    await exchange.respond(500, b"{}")


async def obey_late(engine: MovingEngine, exchange: Exchange, order: object) -> None:
    """Copy the run after the mover has given up."""
    await curio.sleep(0.45)
    await obey(engine, exchange, order)  # type: ignore[arg-type]


async def accept(engine: MovingEngine, exchange: Exchange) -> None:
    """Run the request."""
    await super(MovingEngine, engine)._run_decode(exchange)


class TestUnframedStream:
    """The end of the connection ends a whole answer as well as one that a move stopped."""

    @pytest.mark.parametrize("last", [obey, obey_and_mute])
    def test_stopped_run_is_not_taken_for_a_whole_answer(self, last: MoveHandler) -> None:
        """The target continues the run, whether or not the source answers the last call."""
        harness = MoveHarness(framed=False)

        async def scenario() -> None:
            caller = await harness.begin()
            source, target = harness.source, harness.target
            source.last = last
            assert await harness.move() is MoveOutcome.MOVED
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident, target.ident]
            await harness.assert_all_free()

        harness.run(scenario)

    @pytest.mark.parametrize("path", ["/stream/a", "/resumed/a"])
    def test_stop_after_the_mover_gave_up_is_not_the_end_of_the_answer(self, path: str) -> None:
        """The source carries the last call out late; the stream is resumed or broken off."""
        harness = MoveHarness(framed=False)

        async def scenario() -> None:
            for engine in harness.engines:
                engine.faults.slow = 5.0
            caller = await harness.begin(path)
            source = harness.source

            async def stop_late(engine: MovingEngine, exchange: Exchange, order: object) -> None:
                await curio.sleep(KV_HANDLE_TTL_S)
                await engine.copy_run(order)  # type: ignore[arg-type]
                await exchange.wait_for_disconnect()

            source.last = stop_late
            assert await harness.move() is MoveOutcome.NO_ANSWER
            result = await caller.join()
            if path == "/resumed/a":
                assert result == WHOLE
            else:
                assert_broken_off(result)

        harness.run(scenario)


class TestOtherVersion:
    """A run may continue only at an engine of the software version that began it."""

    def test_run_is_not_moved_to_another_version(self) -> None:
        """The only other engine runs another version: the run stays where it is."""
        harness = MoveHarness(versions=("v1", "v1.1"))

        async def scenario() -> None:
            caller = await harness.begin()
            source = harness.source
            assert await harness.move() is MoveOutcome.NOT_MOVABLE
            assert source.move_calls == []
            answer = b"".join(make_events(IDENT, source.version))
            assert await caller.join() == (200, answer, "")
            await harness.assert_all_free()

        harness.run(scenario)

    def test_run_of_a_leaving_engine_is_moved_to_its_own_version(self) -> None:
        """Two of the three other engines run another version."""
        harness = MoveHarness(engines=4, versions=("v1", "v1.1", "v1.1", "v1"))

        async def scenario() -> None:
            for engine in harness.engines:
                if engine.version != "v1":
                    engine.occupy()
            caller = await harness.begin(x_deadline_ms="20000")
            for engine in harness.engines:
                engine._memory.holds.pop("other", None)
            source = harness.source
            source.faults.slow = 15.0
            # By then the engines of the other version count as having room again.
            await curio.sleep(2.0)
            source.leave()
            assert await caller.join() == WHOLE
            started = harness.work.starts[IDENT]
            versions = {engine.ident: engine.version for engine in harness.engines}
            assert [versions[ident] for ident in started] == ["v1", "v1"]
            assert not harness.gateway.logs.matching("event=run_move_failed")
            await harness.assert_all_free()

        harness.run(scenario)


class TestRandomFailures:
    """Several moves with failures drawn at random."""

    @pytest.mark.parametrize("seed", range(60))
    @pytest.mark.parametrize("path", ["/stream/a", "/resumed/a"])
    @pytest.mark.parametrize("framed", [True, False])
    def test_stream_is_whole_or_cut_after_a_whole_event(
        self, framed: bool, path: str, seed: int
    ) -> None:
        """No event is lost, doubled or out of order, and each attempt runs at one engine."""
        rng = random.Random(seed)
        harness = MoveHarness(engines=3, framed=framed)
        calls = (*[obey] * 9, mute, obey_and_mute, die, conflict, fail, obey_late)

        async def move_at_random() -> None:
            for _ in range(rng.randint(1, 3)):
                await curio.sleep(rng.uniform(0.0, 0.3))
                if not harness.migrator or not len(harness.migrator._running):
                    return
                for engine in harness.engines:
                    engine.first, engine.last = rng.choice(calls), rng.choice(calls)
                    engine.on_continue = rng.choice((accept, accept, refuse, crash))
                    engine.fragment = rng.random() < 0.5
                run = harness.stream
                others = [e for e in harness.engines if e.ident != run.server.name]
                assert harness.migrator is not None
                await harness.migrator.move(run, harness.server_of(rng.choice(others)))

        async def scenario() -> None:
            for engine in harness.engines:
                engine.faults.slow = 3.0
            caller = await harness.begin(path, events=rng.uniform(0.0, 5.0))
            mover = await curio.spawn(move_at_random)
            if rng.random() < 0.2:
                await curio.sleep(rng.uniform(0.0, 0.6))
                await caller.cancel()
            else:
                status, body, error = await caller.join()
                assert status == 200
                assert body == ANSWER if not error else ANSWER.startswith(body)
                assert body == b"" or body.endswith(b"\n\n")
            await mover.join()
            await harness.assert_all_free()
            begun = sum(engine.begun for engine in harness.engines)
            assert begun <= (2 if path == "/resumed/a" else 1)

        harness.run(scenario)


class TestLeavingEngine:
    """An engine announces its shutdown while it runs requests."""

    def test_run_that_would_not_end_in_time_is_moved(self) -> None:
        """The caller gets the whole answer; without the move it would be cut at the shutdown."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin(x_deadline_ms="20000")
            source, target = harness.source, harness.target
            source.faults.slow = 15.0
            source.leave()
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident, target.ident]
            [moved] = harness.gateway.logs.matching("event=run_moved")
            assert f"request={IDENT}" in moved
            await harness.assert_all_free()

        harness.run(scenario)

    def test_run_that_ends_in_time_stays(self) -> None:
        """A move has a price, and the engine serves on for two seconds or more."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin(x_token_count="100,200")
            source = harness.source
            source.leave()
            assert await caller.join() == WHOLE
            assert source.move_calls == []
            assert not harness.gateway.logs.matching("event=run_move_started")

        harness.run(scenario)

    def test_run_stays_if_its_service_is_not_coordinated(self) -> None:
        """Services with short answers are served as without moves, at no cost of a report."""
        harness = MoveHarness(active=False)

        async def scenario() -> None:
            caller = await harness.begin(x_deadline_ms="20000")
            source = harness.source
            source.faults.slow = 15.0
            source.leave()
            await curio.sleep(1.0)
            assert not harness.gateway.logs.matching("event=engine_leaves")
            assert source.move_calls == []
            await caller.cancel()

        harness.run(scenario)

    def test_next_engine_is_tried_if_one_has_no_room(self) -> None:
        """An instance knows only the memory of its own runs, so its first choice may be full."""
        harness = MoveHarness(engines=4)

        async def scenario() -> None:
            caller = await harness.begin(x_deadline_ms="20000")
            source = harness.source
            others = [engine for engine in harness.engines if engine is not source]
            for engine in others[:-1]:
                engine.occupy()
            source.faults.slow = 15.0
            source.leave()
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident, others[-1].ident]
            await harness.assert_all_free()

        harness.run(scenario)

    def test_run_without_a_target_is_tried_again(self) -> None:
        """Memory becomes free before the engine has gone."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin(x_deadline_ms="20000")
            source, target = harness.source, harness.target
            target.occupy()
            source.faults.slow = 15.0
            source.leave()
            await curio.sleep(1.0)
            assert not harness.gateway.logs.matching("event=run_moved")
            target._memory.holds.pop("other")
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident, target.ident]

        harness.run(scenario)


class TestFleet:
    """Two gateways, one of which coordinates, and engines that leave one after the other."""

    def test_all_streams_are_whole_while_engines_leave(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The coordinator and the owners may both want to move a run; it is moved by one.

        Without moves, the engines would cut the streams that last longer than their drain.
        """
        monkeypatch.setattr(replica, "DRAIN_S", 1.0)
        monkeypatch.setattr(replica, "MAX_EXTRA_DRAIN_S", 0.0)
        harness = MoveHarness(engines=4)
        other = harness.gateway.add_gateway("g2")
        idents = [ident for ident in (f"s{n}" for n in range(400)) if len(make_events(ident)) > 15]
        tokens = {"x_token_count": "100,900", "length_hint": "600"}

        async def call(number: int) -> tuple[int, bytes]:
            gateway = (harness.gateway, other)[number % 2]
            response = await gateway.open(
                idents[number], "/stream/a", new_connection=True, **tokens
            )
            body = await response.read_all()
            await response.close()
            return response.status, body

        async def scenario() -> None:
            # These requests show both gateways that answers are long.
            for number in range(24):
                assert (await call(number))[0] == 200
            assert harness.gateway.logs.matching("event=placement_switched", "coordinated=true")
            await curio.sleep(2.5)
            for engine in harness.engines:
                engine.faults.slow = 7.0
            callers = [await curio.spawn(call, number) for number in range(24, 40)]
            await curio.sleep(1.0)
            for engine in harness.engines[:2]:
                engine.leave()
                await curio.sleep(0.3)
            for number, caller in enumerate(callers, start=24):
                answer = b"".join(make_events(idents[number]))
                assert await caller.join() == (200, answer)
            logs = [*harness.gateway.logs.lines, *other.logs.lines]
            moved = [line for line in logs if "event=run_moved " in line]
            assert moved
            begun = sum(engine.begun for engine in harness.engines)
            assert begun == 40
            await harness.assert_all_free()

        harness.run(scenario)


class TestOrderOfCoordinator:
    """A coordinator asks the owner of a run to move it."""

    @staticmethod
    def send(harness: MoveHarness, counter: int, source: str, target: str) -> None:
        """Send an order to the gateway as its coordinator does."""
        order = RunMoveOrder(GroupKey("llm", 0).id, counter, source, target)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(msgspec.msgpack.encode(order), (HOST, harness.gateway.peer_port))

    def test_run_is_moved_to_the_engine_of_the_order(self) -> None:
        """A duplicate of the order, which comes too late, moves nothing."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            run = harness.stream
            source, target = harness.source, harness.target
            ids = [harness.server_of(engine).incarnation_id for engine in (source, target)]
            self.send(harness, to_counter(run.run_id), ids[0], ids[1])
            await curio.sleep(3 * EVENT_INTERVAL_S)
            assert harness.source is target
            self.send(harness, to_counter(run.run_id), ids[0], ids[1])
            assert await caller.join() == WHOLE
            assert harness.work.starts[IDENT] == [source.ident, target.ident]
            await harness.assert_all_free()

        harness.run(scenario)

    def test_order_about_an_unknown_run_or_engine_is_ignored(self) -> None:
        """The run may have ended, and its coordinator may know an engine that has gone."""
        harness = MoveHarness()

        async def scenario() -> None:
            caller = await harness.begin()
            run = harness.stream
            source = harness.source
            ids = [harness.server_of(e).incarnation_id for e in (source, harness.target)]
            counter = to_counter(run.run_id)
            self.send(harness, counter + 1, ids[0], ids[1])
            self.send(harness, counter, ids[0], "i-gone")
            self.send(harness, counter, ids[1], ids[0])
            assert await caller.join() == WHOLE
            assert source.move_calls == []

        harness.run(scenario)
