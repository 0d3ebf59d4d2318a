"""Tests of placement between instances: what each lost datagram and each lost instance costs."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from crankhinge.decisions import Account
from crankhinge.decisions.placement import (
    GRANT_EXPIRY_S,
    RUN_EXPIRY_S,
    WARM_UP_S,
    PlacementOutcome,
)
from crankhinge.gateway.placement._client import ASK_INTERVAL_S, RESPONSE_TIMEOUTS_S
from crankhinge.gateway.placement._messages import (
    PlacementAsk,
    PlacementGrant,
    PlacementReply,
    PlacementWithdrawal,
    RunChanges,
    RunsComplete,
)
from placement_fleet import DELAY_S, PlacementFleet, deadline, make_relay

GRANTED, WAITING = PlacementOutcome.GRANTED, PlacementOutcome.WAITING
ROUND_TRIP_S = 2 * DELAY_S


def drop(*kinds: type, first: int = 1_000_000) -> Any:
    """Return a rule by which the first datagrams of some classes are lost."""
    dropped = 0

    def rule(sender: str, receiver: str, message: Any) -> bool:
        nonlocal dropped
        dropped += isinstance(message, kinds)
        return isinstance(message, kinds) and dropped <= first

    return rule


async def timed_place(fleet: PlacementFleet, instance: Any) -> tuple[Any, float]:
    """Ask for a place; return the decision and how long it took."""
    began_at = await curio.clock()
    _, decision = await fleet.place(instance)
    return decision, await curio.clock() - began_at


class TestGrants:
    """Requests that get their places from a coordinator that responds."""

    def test_grant_costs_one_round_trip(self) -> None:
        """Each millisecond counts against the target of the first event."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            decision, took_s = await timed_place(fleet, fleet.owner)
            assert decision.outcome is GRANTED
            assert took_s == pytest.approx(ROUND_TRIP_S)

        fleet.run(scenario)

    def test_coordinator_places_its_own_requests_without_a_datagram(self) -> None:
        """An instance that sent datagrams to itself would wait for its own event loop."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            sent = fleet.network.sent.copy()
            decision, took_s = await timed_place(fleet, fleet.first)
            assert decision.outcome is GRANTED
            assert took_s == 0.0
            assert fleet.network.sent[PlacementAsk.__name__] == sent[PlacementAsk.__name__]

        fleet.run(scenario)

    def test_end_of_a_run_reaches_a_waiting_request_at_once(self) -> None:
        """Memory that stays unused until the next poll is lost to those that wait."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            runs = await fleet.fill(fleet.owner)
            for instance in (fleet.standby, fleet.first):
                began_at = await curio.clock()
                task = await curio.spawn(timed_place, fleet, instance)
                await curio.sleep(0.02)
                await fleet.end_run(fleet.owner, runs.pop())
                ended_at = await curio.clock()
                decision, took_s = await task.join()
                assert decision.outcome is GRANTED
                assert began_at + took_s - ended_at <= ROUND_TRIP_S + 0.001

        fleet.run(scenario)

    def test_request_waits_no_longer_than_it_may(self) -> None:
        """A caller that gave up must not be kept waiting by its instance."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            await fleet.fill(fleet.owner)
            attempt = await fleet.owner.begin()
            began_at = await curio.clock()
            decision = await attempt.next_decision(await deadline(0.4))
            assert decision is not None
            assert decision.outcome is WAITING
            assert 0.39 < await curio.clock() - began_at < 0.45
            await attempt.withdraw()
            await curio.sleep(0.01)
            assert fleet.first.service.waiting_count == 0

        fleet.run(scenario)

    def test_engine_without_room_is_not_granted_again_at_once(self) -> None:
        """The engine decides; its refusal must reach the coordinator with the next question."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            attempt, decision = await fleet.place(fleet.owner)
            assert decision is not None
            await attempt.engine_refused(decision.engine, avoid=False)
            again = await attempt.next_decision(await deadline())
            assert again is not None
            assert again.outcome is GRANTED
            assert again.engine != decision.engine
            assert fleet.first.logs.matching("placement_no_room", f"server={decision.engine}")

        fleet.run(scenario)

    def test_engine_that_must_not_be_used_is_avoided(self) -> None:
        """An engine that is unreachable from one instance may serve the others."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            attempt, decision = await fleet.place(fleet.owner)
            assert decision is not None
            await attempt.engine_refused(decision.engine, avoid=True)
            for _ in range(3):
                again = await attempt.next_decision(await deadline())
                assert again is not None
                assert again.engine != decision.engine
                await attempt.engine_refused(again.engine, avoid=False)
                await curio.sleep(0.3)

        fleet.run(scenario)

    def test_runs_are_known_with_account_and_length(self) -> None:
        """The order of waiting requests depends on the accounts of the runs in progress."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            relay = make_relay(account=Account("acct", 0, None, None))
            placed = await fleet.start_run(fleet.owner, relay)
            placed.stream.events.event_count = 7
            await curio.sleep(1.1)
            [group] = fleet.first.service._groups.values()
            report = group.runs[placed.run.run_id].report
            assert (report.account, report.rank, report.made_tokens) == ("acct", 0, 700)
            assert 0.0 < report.age_s < 1.1
            await fleet.end_run(fleet.owner, placed)
            await curio.sleep(0.01)
            assert fleet.first.service.run_count == 0

        fleet.run(scenario)


class TestLostDatagrams:
    """What a lost, late or duplicated datagram costs."""

    @pytest.mark.parametrize("lost", [PlacementAsk, PlacementReply])
    def test_lost_question_or_response_costs_one_short_wait(self, lost: type) -> None:
        """A request that fell back after one lost datagram would jump the queue."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            fleet.network.drop = drop(lost, first=1)
            decision, took_s = await timed_place(fleet, fleet.owner)
            assert decision.outcome is GRANTED
            assert took_s == pytest.approx(RESPONSE_TIMEOUTS_S[0] + ROUND_TRIP_S)

        fleet.run(scenario)

    def test_lost_grant_costs_one_ask_interval(self) -> None:
        """The waiting instance asks again, and the coordinator answers with the same grant."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            runs = await fleet.fill(fleet.owner)
            fleet.network.drop = drop(PlacementGrant)
            task = await curio.spawn(timed_place, fleet, fleet.standby)
            await curio.sleep(0.01)
            await fleet.end_run(fleet.owner, runs.pop())
            decision, took_s = await task.join()
            assert decision.outcome is GRANTED
            assert took_s <= 0.01 + ASK_INTERVAL_S + 2 * ROUND_TRIP_S

        fleet.run(scenario)

    def test_duplicated_datagrams_change_nothing(self) -> None:
        """A duplicate must not take a second place or end a wait."""
        fleet = PlacementFleet()
        fleet.network.copies = 2

        async def scenario() -> None:
            await fleet.warm_up()
            placed = [await fleet.start_run(fleet.owner) for _ in range(2)]
            await curio.sleep(1.2)
            assert fleet.first.service.run_count == 2
            await fleet.end_run(fleet.owner, placed.pop())
            await curio.sleep(0.05)
            assert fleet.first.service.run_count == 1

        fleet.run(scenario)

    def test_duplicated_responses_do_not_end_a_wait(self) -> None:
        """A request that asked again after each duplicate would flood its coordinator."""
        fleet = PlacementFleet()
        fleet.network.copies = 2

        async def scenario() -> None:
            await fleet.warm_up()
            for server in fleet.servers * 4:
                await fleet.report_run(fleet.owner, make_relay(), server)
            await curio.sleep(0.1)
            asked = fleet.network.sent[PlacementAsk.__name__]
            attempt = await fleet.standby.begin()
            decision = await attempt.next_decision(await deadline(0.4))
            assert decision is not None
            assert decision.outcome is WAITING
            assert fleet.network.sent[PlacementAsk.__name__] - asked <= 0.4 / ASK_INTERVAL_S + 2

        fleet.run(scenario)

    def test_grant_of_a_request_that_is_gone_is_given_back(self) -> None:
        """A place that was granted to nobody would stay unused until the grant expires."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            runs = await fleet.fill(fleet.owner)
            fleet.network.drop = drop(PlacementWithdrawal, first=1)
            attempt = await fleet.standby.begin()
            await curio.ignore_after(0.02, attempt.next_decision, await deadline())
            await attempt.withdraw()
            await fleet.end_run(fleet.owner, runs.pop())
            await curio.sleep(0.02)
            assert fleet.network.sent[PlacementGrant.__name__] == 1
            assert fleet.first.service.run_count == len(runs)

        fleet.run(scenario)

    def test_run_whose_start_and_end_were_not_reported_is_in_the_next_report(self) -> None:
        """Reports of all runs correct what single reports missed, within a second."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            fleet.network.drop = drop(RunChanges)
            direct = await fleet.report_run(fleet.owner, make_relay(), fleet.servers[0])
            placed = await fleet.start_run(fleet.owner)
            await curio.sleep(0.05)
            fleet.network.drop = drop()
            await curio.sleep(1.2)
            assert fleet.first.service.run_count == 2
            fleet.network.drop = drop(RunChanges)
            await fleet.end_run(fleet.owner, direct)
            await fleet.end_run(fleet.owner, placed)
            await curio.sleep(1.5)
            assert fleet.first.service.run_count == 0

        fleet.run(scenario)

    def test_grant_that_is_not_taken_up_expires(self) -> None:
        """An instance that is suspended or dies between grant and reservation holds no memory."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            await fleet.place(fleet.owner)
            assert fleet.first.service.run_count == 1
            await curio.sleep(GRANT_EXPIRY_S + 0.4)
            assert fleet.first.service.run_count == 0

        fleet.run(scenario)


class TestLostInstances:
    """What happens when the coordinator or an owner is gone."""

    def test_dead_coordinator_costs_two_short_waits_and_then_none(self) -> None:
        """Requests fall back to direct reservation; a dead instance is not asked by each one."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            await fleet.kill(fleet.first.name)
            decision, took_s = await timed_place(fleet, fleet.owner)
            assert decision is None
            assert took_s == pytest.approx(sum(RESPONSE_TIMEOUTS_S))
            decision, took_s = await timed_place(fleet, fleet.owner)
            assert decision is None
            assert took_s <= ROUND_TRIP_S + 0.001

        fleet.run(scenario)

    def test_standby_coordinates_once_it_has_received_reports(self) -> None:
        """A standby that placed runs at once would take full engines for empty ones."""
        fleet = PlacementFleet(4)

        async def scenario() -> None:
            await fleet.warm_up()
            runs = await fleet.fill(fleet.owner)
            fourth = fleet.ranked()[3]
            await fleet.kill(fleet.first.name)
            began_at = await curio.clock()
            while (await fleet.place(fourth))[1] is None:
                await fleet.place(fleet.owner)
                assert await curio.clock() - began_at < 5.0
                await curio.sleep(0.1)
            assert await curio.clock() - began_at >= WARM_UP_S
            known = {
                run_id for group in fleet.standby.service._groups.values() for run_id in group.runs
            }
            assert {placed.run.run_id for placed in runs} <= known

        fleet.run(scenario)

    def test_standby_that_gets_no_reports_never_coordinates(self) -> None:
        """One instance that cannot reach the first one must not fill engines through the other."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            cut_off, first = fleet.owner.name, fleet.first.name
            fleet.network.drop = lambda sender, receiver, message: (
                {sender, receiver} == {cut_off, first} or isinstance(message, RunsComplete)
            )
            for _ in range(40):
                _, decision = await fleet.place(fleet.owner)
                assert decision is None
                await curio.sleep(0.1)

        fleet.run(scenario)

    def test_coordinator_that_restarts_learns_all_runs_before_it_decides(self) -> None:
        """Its runs come from reports only; details that it lacks are asked for."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            runs = await fleet.fill(fleet.owner)
            first = await fleet.restart(fleet.first.name)
            _, decision = await fleet.place(fleet.owner)
            assert decision is None
            await curio.sleep(WARM_UP_S + 0.1)
            assert first.service.run_count == len(runs)
            decision = await curio.ignore_after(0.05, fleet.place, fleet.owner)
            assert decision is None

        fleet.run(scenario)

    def test_coordinator_that_was_suspended_waits_for_reports(self) -> None:
        """The runs of the time of its suspension are unknown to it."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            await fleet.start_run(fleet.owner)
            first = fleet.first
            await fleet.suspend(first.name, 5.0)
            await curio.sleep(0.2)
            _, decision = await fleet.place(fleet.standby)
            assert decision is None
            assert first.logged("placement_suspended")
            await curio.sleep(WARM_UP_S)
            _, decision = await fleet.place(fleet.standby)
            assert decision is not None
            assert first.service.run_count == 2

        fleet.run(scenario)

    def test_runs_of_a_dead_owner_expire(self) -> None:
        """Its engines have stopped them, so their memory is free."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            runs = await fleet.fill(fleet.owner)
            assert fleet.first.service.run_count == len(runs)
            await fleet.kill(fleet.owner.name)
            await curio.sleep(RUN_EXPIRY_S + 1.0)
            assert fleet.first.service.run_count == 0
            _, decision = await fleet.place(fleet.standby)
            assert decision is not None
            assert decision.outcome is GRANTED

        fleet.run(scenario)

    def test_restarted_owner_is_not_taken_for_its_previous_incarnation(self) -> None:
        """Run counters that began anew would end or resume the runs of the previous incarnation."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            before = await fleet.start_run(fleet.owner)
            owner = await fleet.restart(fleet.owner.name)
            after = await fleet.start_run(owner)
            assert before.run.run_id != after.run.run_id
            await curio.sleep(1.2)
            [group] = fleet.first.service._groups.values()
            assert set(group.runs) == {after.run.run_id}

        fleet.run(scenario)

    def test_new_first_instance_takes_over_without_a_gap(self) -> None:
        """While the new one waits for reports, the previous one still decides."""
        fleet = PlacementFleet(4)

        async def scenario() -> None:
            # The first instance joins last.
            new = fleet.first
            others = [instance for instance in fleet.ranked() if instance is not new]
            now = await curio.clock()
            for instance in others:
                instance.membership._set_addresses(
                    {name: f"{name}:1" for name in fleet.names if name != new.name}, now
                )
            await fleet.kill(new.name)
            owner = others[-1]
            assert (await fleet.place(owner))[1] is None
            await curio.sleep(WARM_UP_S + 0.1)
            await fleet.start_run(owner)
            new = await fleet.restart(new.name)
            for instance in others:
                instance.membership.record_joined(new.name, f"{new.name}:1", await curio.clock())
                instance.client.record_joined(new.name)
            began_at = await curio.clock()
            while await curio.clock() - began_at < 4.0:
                attempt, decision = await fleet.place(owner)
                assert decision is not None
                await attempt.withdraw()
                await curio.sleep(0.1)
            assert new.logged("placement_granted")
            assert new.service.run_count == 1

        fleet.run(scenario)

    def test_both_parts_of_a_partitioned_fleet_place_runs(self) -> None:
        """Each part has its own coordinator, and the engines decide between them."""
        fleet = PlacementFleet(6)

        async def scenario() -> None:
            await fleet.warm_up()
            ranked = fleet.ranked()
            part = {ranked[0].name, ranked[2].name, ranked[3].name}
            fleet.network.drop = lambda sender, receiver, message: (
                (sender in part) is not (receiver in part)
            )
            members = [ranked[2], ranked[4]]
            for member in members:
                await fleet.report_run(member, make_relay(), fleet.servers[0])
            for _ in range(60):
                decisions = [(await fleet.place(member))[1] for member in members]
                await curio.sleep(0.05)
            assert all(decision is not None for decision in decisions)

        fleet.run(scenario)

    def test_unavailable_store_changes_nothing(self) -> None:
        """No call goes to the store; the instances that were read last still coordinate."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            for instance in fleet.instances.values():
                instance.membership.set_lease_end(0.0)
            for _ in range(60):
                attempt, decision = await fleet.place(fleet.owner)
                assert decision is not None
                await attempt.withdraw()
                await curio.sleep(1.0)

        fleet.run(scenario)


class TestSwitch:
    """How instances learn that a service is coordinated."""

    def test_restarted_instance_learns_it_from_the_coordinator(self) -> None:
        """Ten requests of its own would take 12 s in a fleet of 25 with 21 requests/s."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            await fleet.restart(fleet.owner.name)
            relay = make_relay()
            fleet.owner.client._shares.clear()
            assert not fleet.owner.client.is_coordinated(relay.service)
            await curio.sleep(6.0)
            assert fleet.owner.client.is_coordinated(relay.service)
            assert fleet.owner.logs.matching("placement_switched", "told=true")

        fleet.run(scenario)
