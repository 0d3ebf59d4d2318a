"""Tests of placement between instances: what each lost datagram and each lost instance costs."""

from __future__ import annotations

import random
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
from crankhinge.decisions.placement._coordinator import REORDER_S
from crankhinge.gateway.placement._client import (
    ASK_INTERVAL_S,
    RESPONSE_TIMEOUTS_S,
    STANDBY_REPORTS_S,
)
from crankhinge.gateway.placement._messages import (
    PlacementAsk,
    PlacementGrant,
    PlacementReply,
    PlacementWithdrawal,
    RunChanges,
    RunsComplete,
)
from crankhinge.gateway.placement._service import STANDBY_IDLE_S
from placement_fleet import DELAY_S, READY_S, PlacementFleet, deadline, make_relay

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

    def test_engine_that_only_the_coordinator_still_lists_is_not_granted_again(self) -> None:
        """An instance whose list was newer asked 2,000 times a second for the same engine."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            attempt, decision = await fleet.place(fleet.owner)
            assert decision is not None
            fleet.owner.backends._servers._remove(decision.engine)
            await attempt.engine_refused(decision.engine, avoid=True)
            for _ in range(5):
                again = await attempt.next_decision(await deadline())
                assert again is not None
                assert again.engine != decision.engine
                await attempt.engine_refused(again.engine, avoid=False)

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
            # The standby was asked while the first instance warmed up, and was to get reports.
            await curio.sleep(STANDBY_REPORTS_S)
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

    def test_coordinator_that_stops_hands_over_without_a_gap(self) -> None:
        """A roll stops each instance once; requests must not jump the queue meanwhile."""
        fleet = PlacementFleet(4)

        async def scenario() -> None:
            await fleet.warm_up()
            first, owner = fleet.first, fleet.owner
            await fleet.start_run(owner)
            # The standby got reports during the warm-up, and forgets them.
            await curio.sleep(STANDBY_REPORTS_S + STANDBY_IDLE_S + 0.5)
            assert fleet.standby.service.run_count == 0
            first.service.is_stopping = lambda: True
            await curio.sleep(0.1)
            # The owner reports at once, not only with its next report of all runs.
            assert fleet.standby.service.run_count == 1
            began_at = await curio.clock()
            while await curio.clock() - began_at < 6.0:
                attempt, decision = await fleet.place(owner)
                assert decision is not None
                await attempt.withdraw()
                await curio.sleep(0.1)
                if await curio.clock() - began_at > 2.5 and first.name in fleet.network.messengers:
                    await fleet.kill(first.name)
            assert fleet.standby.logged("placement_granted")
            assert fleet.standby.service.run_count == 1

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


class TestReports:
    """Reports of all runs of an owner."""

    def test_report_in_several_datagrams_counts_only_as_a_whole(self) -> None:
        """Without one of its parts, the runs in it would be taken for ended ones."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            for number in range(200):
                await fleet.report_run(fleet.owner, make_relay(), fleet.servers[number % 8])
            await curio.sleep(1.1)
            assert fleet.first.service.run_count == 200
            fleet.network.drop = lambda sender, receiver, message: (
                isinstance(message, RunsComplete) and message.part == 1
            )
            await curio.sleep(2.0)
            assert fleet.network.sent[RunsComplete.__name__] >= 6
            assert fleet.first.service.run_count == 200

        fleet.run(scenario)

    def test_delayed_report_does_not_undo_a_newer_one(self) -> None:
        """A run that started since the delayed report was sent would be taken for an ended one."""
        fleet = PlacementFleet()
        delayed: list[RunsComplete] = []

        def keep(sender: str, receiver: str, message: Any) -> bool:
            is_kept = isinstance(message, RunsComplete) and not delayed
            if is_kept:
                delayed.append(message)
            return is_kept

        async def scenario() -> None:
            await fleet.warm_up()
            await fleet.start_run(fleet.owner)
            fleet.network.drop = keep
            await curio.sleep(1.1)
            await fleet.start_run(fleet.owner)
            await curio.sleep(1.1)
            assert fleet.first.service.run_count == 2
            # The coordinator keeps runs that were reported a moment ago in any case.
            fleet.network.drop = drop(RunsComplete)
            await curio.sleep(REORDER_S + 0.1)
            await fleet.first.service._on_complete(delayed[0], f"{fleet.owner.name}:1")
            assert fleet.first.service.run_count == 2

        fleet.run(scenario)

    def test_details_of_many_unknown_runs_are_asked_for(self) -> None:
        """A coordinator that restarts must know all runs when its warm-up is over."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            for number in range(60):
                await fleet.report_run(fleet.owner, make_relay(), fleet.servers[number % 8])
            first = await fleet.restart(fleet.first.name)
            await curio.sleep(WARM_UP_S)
            assert first.service.run_count == 60

        fleet.run(scenario)

    def test_run_that_moved_is_known_at_its_new_engine(self) -> None:
        """Its memory would otherwise be planned at the engine that it has left."""
        fleet = PlacementFleet()

        async def scenario() -> None:
            await fleet.warm_up()
            placed = await fleet.start_run(fleet.owner)
            target = next(
                server
                for server in fleet.servers
                if server.incarnation_id != placed.run.details.engine
            )
            placed.stream.server = target
            await fleet.owner.client.record_moved(placed.stream)
            await curio.sleep(0.01)
            [group] = fleet.first.service._groups.values()
            assert group.runs[placed.run.run_id].report.engine == target.incarnation_id
            # The same if that message is lost.
            placed.stream.server = fleet.servers[0]
            await curio.sleep(1.1)
            assert group.runs[placed.run.run_id].report.engine == "e-0"
            assert fleet.first.service.run_count == 1

        fleet.run(scenario)


class TestFailingDecisions:
    """A fault of the decisions, or a false message that leads to one."""

    def test_request_falls_back_and_the_group_begins_anew(self) -> None:
        """An instance whose decisions fail must not end, nor leave requests without a response."""
        fleet = PlacementFleet()
        fleet.tolerates_failures = True

        async def scenario() -> None:
            await fleet.warm_up()
            for method in ("request", "report", "withdraw", "grants", "expire"):
                await fleet.start_run(fleet.owner)
                [group] = fleet.first.service._groups.values()

                def fail(*args: Any, **kwargs: Any) -> Any:
                    raise ZeroDivisionError

                setattr(group.coordinator, method, fail)
                attempt, _ = await fleet.place(fleet.owner)
                await attempt.withdraw()
                await curio.sleep(1.2)
                assert group not in fleet.first.service._groups.values()
                await fleet.place(fleet.owner)
                await curio.sleep(READY_S)
            assert len(fleet.first.logged("placement_failed")) >= 5

        fleet.run(scenario)


class TestGroups:
    """A service with more engines than one coordinator can serve."""

    def test_request_that_one_group_refuses_asks_another(self) -> None:
        """One full group must not refuse what the other 99 could serve."""
        fleet = PlacementFleet(4, engines=36)

        async def scenario() -> None:
            groups = fleet.owner.engines.groups("llm")
            assert len(groups) == 6
            for _ in range(60):
                await (await fleet.owner.begin()).next_decision(await deadline())
            await curio.sleep(WARM_UP_S + 0.1)
            chosen = max(range(6), key=lambda group: len(groups.members(group)))
            for server in [*groups.members(chosen)] * 5:
                await fleet.report_run(fleet.standby, make_relay(), server)
            await curio.sleep(0.1)
            outcomes = []
            for number in range(60):
                relay = make_relay(f"q{number}", is_retry=True)
                attempt, decision = await fleet.place(fleet.owner, relay)
                assert decision is not None
                outcomes.append(decision.outcome)
                await attempt.withdraw()
            assert outcomes.count(GRANTED) == 60
            refused = [
                line
                for instance in fleet.instances.values()
                for line in instance.logged("placement_refused")
            ]
            assert refused

        fleet.run(scenario)

    def test_coordinators_of_all_groups_know_their_runs(self) -> None:
        """A run belongs to the group of its engine, whoever placed it."""
        fleet = PlacementFleet(4, engines=36)

        async def scenario() -> None:
            for _ in range(60):
                await (await fleet.owner.begin()).next_decision(await deadline())
            for server in fleet.servers:
                await fleet.report_run(fleet.owner, make_relay(), server)
            await curio.sleep(1.2)
            known = [instance.service.run_count for instance in fleet.instances.values()]
            # The standbys get reports, too, while the first instances warm up.
            assert sum(known) == 2 * 36
            await curio.sleep(6.0)
            known = [instance.service.run_count for instance in fleet.instances.values()]
            assert sum(known) == 36

        fleet.run(scenario)


class TestEngines:
    """Which engines a coordinator uses."""

    def test_engine_that_leaves_gets_no_runs(self) -> None:
        """Its entry may not show that yet; its responses do."""
        fleet = PlacementFleet(engines=3)

        async def scenario() -> None:
            await fleet.warm_up()
            now = await curio.clock()
            fleet.first.backends.exclusions.record_leaving("e-1", now)
            members = fleet.first.engines.members("llm", 0, now)
            assert {server.incarnation_id for server in members if server.leaving} == {"e-1"}
            for _ in range(4):
                _, decision = await fleet.place(fleet.owner)
                assert decision is not None
                assert decision.engine != "e-1"

        fleet.run(scenario)

    def test_engine_that_one_instance_cannot_use_is_left_to_the_others(self) -> None:
        """A circuit breaker is open at one instance only."""
        fleet = PlacementFleet(engines=2)

        async def scenario() -> None:
            await fleet.warm_up()
            now = await curio.clock()
            breaker = fleet.owner.backends.stats("e-0").breaker
            while breaker.allows_request(now):
                breaker.record_failure(now)
            engines = {}
            for instance in (fleet.owner, fleet.standby):
                engines[instance.name] = []
                for _ in range(6):
                    attempt, decision = await fleet.place(instance)
                    assert decision is not None
                    engines[instance.name].append(decision.engine)
                    await attempt.withdraw()
            assert set(engines[fleet.owner.name]) == {"e-1"}
            assert set(engines[fleet.standby.name]) == {"e-0", "e-1"}

        fleet.run(scenario)


class TestRandomFaults:
    """Fleets under random faults: what is known in the end, and that nobody waits too long."""

    @pytest.mark.parametrize("seed", range(12))
    def test_coordinator_knows_exactly_the_runs_in_progress(self, seed: int) -> None:
        """Each fault may cost time, but must leave no run behind and end no request's wait late."""
        rng = random.Random(seed)
        fleet = PlacementFleet(5)
        live: dict[str, list[Any]] = {name: [] for name in fleet.names}
        longest_s = 0.0

        async def request(instance: Any) -> None:
            nonlocal longest_s
            relay = make_relay("q", expected=rng.randrange(500, 3000))
            attempt, began_at = await instance.begin(relay), await curio.clock()
            decision = await attempt.next_decision(await deadline(2.0))
            longest_s = max(longest_s, await curio.clock() - began_at)
            if decision is None or decision.outcome is not GRANTED:
                await attempt.withdraw()
            elif rng.random() < 0.15:
                await attempt.engine_refused(decision.engine, avoid=rng.random() < 0.5)
                await attempt.withdraw()
            elif fleet.instances[instance.name] is instance:
                server = instance.backends.get(decision.engine)
                run = await fleet.report_run(instance, relay, server, attempt)
                live[instance.name].append(run)

        async def scenario() -> None:
            await fleet.warm_up()
            fleet.network.drop = lambda sender, receiver, message: rng.random() < 0.1
            for _ in range(150):
                name = rng.choice(fleet.names)
                if rng.random() < 0.02:
                    live[name].clear()
                    await fleet.restart(name)
                fleet.network.copies = rng.choice([1, 1, 1, 2])
                await curio.spawn(request, fleet.instances[name], daemon=True)
                owner = rng.choice(fleet.names)
                if live[owner] and rng.random() < 0.9:
                    run = live[owner].pop(rng.randrange(len(live[owner])))
                    await fleet.end_run(fleet.instances[owner], run, completed=rng.random() < 0.8)
                await curio.sleep(rng.expovariate(20.0))
            await curio.sleep(2.5)
            fleet.network.drop, fleet.network.copies = (lambda *message: False), 1
            await curio.sleep(RUN_EXPIRY_S + GRANT_EXPIRY_S)
            in_progress = {run.run.run_id for runs in live.values() for run in runs}
            [group] = fleet.first.service._groups.values()
            assert {run_id for run_id, run in group.runs.items() if run.started} == in_progress
            assert fleet.first.service.run_count == len(in_progress)
            assert fleet.first.service.waiting_count == 0
            assert longest_s < 2.0 + sum(RESPONSE_TIMEOUTS_S) * 2 + 0.05

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
