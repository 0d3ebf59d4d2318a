"""Tests of which peer instances get no requests because they did not respond."""

from __future__ import annotations

from crankhinge.decisions._unresponsive import FIRST_SKIP_S, MAX_SKIP_S, UnresponsivePeers


class TestUnresponsivePeers:
    """Peer instances that did not respond to requests and are skipped for some time."""

    def test_peer_is_skipped_after_consecutive_misses(self) -> None:
        """One request or response may be lost, so a single miss is not enough."""
        peers = UnresponsivePeers(2)
        peers.record_unresponsive("n", 10.0)
        assert not peers.is_skipped("n", 10.0)
        assert peers.missed_last("n")
        peers.record_unresponsive("n", 10.1)
        assert peers.is_skipped("n", 10.1 + FIRST_SKIP_S - 0.01)
        assert not peers.is_skipped("n", 10.1 + FIRST_SKIP_S)
        assert not peers.is_skipped("other", 10.1)

    def test_skip_time_doubles_up_to_a_maximum(self) -> None:
        """Each request to a peer that is gone costs a wait of a tenth of a second."""
        peers = UnresponsivePeers(1)
        now, skip_times = 0.0, []
        for _ in range(7):
            peers.record_unresponsive("n", now)
            skip_s = next(s / 4 for s in range(1, 100) if not peers.is_skipped("n", now + s / 4))
            skip_times.append(skip_s)
            now += skip_s
        assert skip_times == [1.0, 2.0, 4.0, 8.0, 16.0, MAX_SKIP_S, MAX_SKIP_S]

    def test_response_ends_the_skip(self) -> None:
        """After a response, one more miss does not skip the peer again."""
        peers = UnresponsivePeers(2)
        for _ in range(3):
            peers.record_unresponsive("n", 1.0)
        peers.record_response("n")
        assert not peers.is_skipped("n", 1.0)
        assert not peers.missed_last("n")
        peers.record_unresponsive("n", 2.0)
        assert not peers.is_skipped("n", 2.0)
