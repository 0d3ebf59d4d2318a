"""Tests of the datagrams about placement, and of what they cost an instance."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest

from crankhinge.decisions import EngineRole, Membership, Server
from crankhinge.decisions.coordination import CoordinatorOrder, EngineGroups
from crankhinge.decisions.placement import PlacementOutcome, PrefillOutcome
from crankhinge.errors import Undecodable
from crankhinge.gateway._peer_messages import EngineOrdered, PeerMessage, decode_message
from crankhinge.gateway._peer_messenger import MAX_DATAGRAM_BYTES
from crankhinge.gateway.placement._client import (
    MAX_AVOIDED,
    REPORT_INTERVAL_S,
    REPORTED_PREFILL_SHARE,
    split_report,
)
from crankhinge.gateway.placement._messages import (
    NUMBERS,
    CoordinatorLeaving,
    GroupKey,
    PlacementAsk,
    PlacementGrant,
    PlacementMessage,
    PlacementReply,
    PlacementSwitched,
    PlacementWithdrawal,
    PrefillEnded,
    RunChanges,
    RunDetails,
    RunDetailsRequest,
    RunMoveOrder,
    RunsComplete,
    RunState,
    engine_hash,
    is_older,
)
from crankhinge.gateway.placement._service import CHECK_INTERVAL_S, INFORMED_PER_ROUND

KEY = GroupKey("llm-large", 73)
ENGINE = "replica-llm-large-0412@1764793000123"
OWNER = "gateway-00123"
COUNTER = 2**31 - 1
ASK = PlacementAsk(
    group_id=KEY.id,
    counter=COUNTER,
    account="customer-00042",
    rank=1,
    route="streams-large",
    prompt_tokens=5200,
    expected_tokens=4400,
    max_tokens=8190,
    target_ms=820,
    timeout_ms=3280,
    left_ms=14_100,
    pause_ms=300,
    is_retry=False,
    zone="zone-a",
)
REPLY = PlacementReply(COUNTER, PlacementOutcome.GRANTED, ENGINE, 6300, 0, ENGINE, True)
PREFILLED = PrefillEnded(KEY.id, COUNTER, 65_535, 1900, PrefillOutcome.TIMED_OUT)
DETAILS = RunDetails(
    *(COUNTER, 8000, ENGINE, 5200, 4400, 8190, 1),
    *("customer-00042", "streams-large", 12_000, 300, True),
)
STATE = RunState(COUNTER, 8000, 65_535, True)
STARTED = RunChanges(KEY.id, started=(STATE,))
ENDED = RunChanges(KEY.id, completed=(STATE,))
MESSAGES: list[PlacementMessage] = [
    ASK,
    msgspec.structs.replace(ASK, avoid=(ENGINE,) * MAX_AVOIDED, full=ENGINE),
    REPLY,
    PlacementGrant(KEY.id, REPLY),
    PlacementWithdrawal(KEY.id, COUNTER),
    STARTED,
    ENDED,
    RunChanges(KEY.id, runs=(DETAILS,)),
    RunChanges(KEY.id, aborted=(COUNTER,)),
    RunsComplete(KEY.id, 60_000, 0, 1, (STATE,) * 16),
    RunDetailsRequest(KEY.id, (COUNTER,) * 64),
    RunMoveOrder(KEY.id, COUNTER, ENGINE, ENGINE),
    PlacementSwitched("llm-large"),
    CoordinatorLeaving(KEY.id),
    PREFILLED,
]


def size(message: PlacementMessage | PeerMessage) -> int:
    """Return the bytes of a datagram."""
    return len(msgspec.msgpack.encode(message))


class TestMessages:
    """The datagrams themselves."""

    @pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
    def test_message_survives_encoding_and_fits_in_one_packet(
        self, message: PlacementMessage
    ) -> None:
        """A datagram that is cut off is lost, each time it is sent."""
        data = msgspec.msgpack.encode(message)
        assert decode_message(data) == message
        assert len(data) <= MAX_DATAGRAM_BYTES

    def test_messages_of_both_encodings_are_told_apart(self) -> None:
        """The other messages between instances are maps, as in earlier versions."""
        order = EngineOrdered("i-1", EngineRole.DECODE, 13.0)
        assert decode_message(msgspec.msgpack.encode(order)) == order

    @pytest.mark.parametrize("data", [b"", b"\x90", b"\x91\xa2pa", b"\x93\xa2pr\x01\xa1x", b"\xc1"])
    def test_malformed_datagram_is_an_error_of_its_own_kind(self, data: bytes) -> None:
        """The messenger logs this error and goes on; any other would end it."""
        with pytest.raises(Undecodable):
            decode_message(data)

    def test_run_ids_are_unique_among_instances_and_engines_among_a_group(self) -> None:
        """Two engines of a group with one hash would be taken for each other in reports."""
        assert ASK.to_request(OWNER).run_id == f"{OWNER}/{COUNTER}"
        assert DETAILS.to_report(OWNER).run_id == f"{OWNER}/{COUNTER}"
        hashes = {engine_hash(f"replica-llm-{number:04}@17647{number}") for number in range(32)}
        assert len(hashes) == 32
        groups = {GroupKey(service, group).id for service in ("a", "b") for group in range(100)}
        assert len(groups) == 200

    def test_reports_are_ordered_although_their_numbers_wrap_around(self) -> None:
        """A delayed report must not undo a newer one; a restarted owner begins with any number."""
        assert is_older(5, 6)
        assert is_older(NUMBERS - 1, 2)
        assert not is_older(6, 6)
        assert not is_older(2, NUMBERS - 1)
        assert not is_older(5, 20_000)


class TestReportOfAllRuns:
    """How a report of all runs is divided into datagrams."""

    @pytest.mark.parametrize("count", [0, 1, 60, 500])
    def test_parts_fit_and_contain_each_run_once(self, count: int) -> None:
        """An owner of hundreds of runs must not be taken for one with the first sixty."""
        states = [RunState(COUNTER - number, 8000, number, True) for number in range(count)]
        messages = split_report(KEY, 7, states)
        assert all(size(message) <= MAX_DATAGRAM_BYTES for message in messages)
        assert [message.part for message in messages] == list(range(len(messages)))
        assert {message.parts for message in messages} == {len(messages)}
        assert [state for message in messages for state in message.runs] == states


# The load of deployment N per engine, and that of the design size: 3,300 requests/s of which one in
# six is a stream, on 600 engines.
STREAMS_PER_ENGINE_S = 0.92
RUNS_PER_ENGINE = 10
MAX_BYTES_PER_S = 10_000


def received_per_s(engines: int, owners: int, *, is_single: bool) -> float:
    """Return the bytes per second that the coordinator of a group receives.

    Args:
        engines: number of engines of the group.
        owners: number of instances that have runs on them.
        is_single: whether the service has no other group.
    """
    streams_per_s = STREAMS_PER_ENGINE_S * engines
    runs = RUNS_PER_ENGINE * engines
    empty_report = size(RunsComplete(KEY.id, 60_000, 0, 1, ()))
    run_bytes = size(RunsComplete(KEY.id, 60_000, 0, 1, (STATE,))) - empty_report
    # One stream in five waits and asks again, twice on average.
    asks = 1.0 + 0.2 * 2.0
    prompts = 1.0 if is_single else REPORTED_PREFILL_SHARE
    per_stream = asks * size(ASK) + size(STARTED) + size(ENDED) + prompts * size(PREFILLED)
    reports = min(owners, runs) * empty_report + runs * run_bytes
    return streams_per_s * per_stream + reports / REPORT_INTERVAL_S


def answered_per_s(engines: int) -> float:
    """Return the bytes per second that the coordinator of a group sends."""
    return STREAMS_PER_ENGINE_S * engines * (1.4 * size(REPLY) + 0.2 * size(MESSAGES[3]))


class TestCost:
    """Bytes per instance and second, computed from the encoded messages."""

    def test_single_group_of_deployment_n(self) -> None:
        """25 instances and 23 engines have one coordinator for all engines."""
        cost = received_per_s(23, 25, is_single=True)
        print(f"coordinator of 23 engines and 25 instances: {cost:.0f} B/s received")
        assert cost < MAX_BYTES_PER_S

    @pytest.mark.parametrize(("instances", "engines"), [(300, 500), (360, 600)])
    def test_coordinators_of_a_large_fleet(self, instances: int, engines: int) -> None:
        """Groups differ in size, and one instance may coordinate several of them."""
        names = [f"gateway-{number:05}" for number in range(instances)]
        membership = Membership(names[0], 0.0)
        membership.join(dict.fromkeys(names, "h:1"), 0.0, resumed=True)
        order = CoordinatorOrder(name=names[0], membership=membership, max_misses=2)
        groups = EngineGroups(
            Server(f"replica-{number}", "llm", "h", 9, "z", EngineRole.DECODE, 12, False, 1)
            for number in range(engines)
        )
        received: Counter[str] = Counter()
        answered: Counter[str] = Counter()
        for group in range(len(groups)):
            first = order.ranked(str(GroupKey("llm-large", group)))[0]
            members = len(groups.members(group))
            received[first] += round(received_per_s(members, instances, is_single=False))
            answered[first] += round(answered_per_s(members))
        # What every instance sends: reports of its share of the runs, and its requests.
        streams_per_s = STREAMS_PER_ENGINE_S * engines / instances
        runs = RUNS_PER_ENGINE * engines / instances
        report = size(RunsComplete(KEY.id, 60_000, 0, 1, (STATE,)))
        prefilled = REPORTED_PREFILL_SHARE * size(PREFILLED)
        per_stream = 1.4 * size(ASK) + size(STARTED) + size(ENDED) + prefilled
        sent = streams_per_s * per_stream + runs * report
        informed = size(PlacementSwitched("llm-large")) * INFORMED_PER_ROUND / CHECK_INTERVAL_S
        busiest = max(received.values())
        print(
            f"{instances} instances, {engines} engines, {len(groups)} groups: "
            f"busiest coordinator receives {busiest} B/s, mean of coordinators "
            f"{sum(received.values()) / len(received):.0f}; each instance sends {sent:.0f} B/s, "
            f"the busiest coordinator {max(answered.values()) + informed:.0f} B/s more"
        )
        assert busiest < MAX_BYTES_PER_S
        assert sent + max(answered.values()) + informed < MAX_BYTES_PER_S
