"""Tests of the keys under which crashes of servers are counted."""

from __future__ import annotations

from crankhinge.decisions import is_part_key, part_keys, prompt_only_keys
from crankhinge.decisions._work_keys import MAX_PARTS


class TestPartKeys:
    """Keys of the parts of a prompt."""

    def test_last_part_has_no_key(self) -> None:
        """It is the request's own, and its key would only fill the tables."""
        assert part_keys(("a", "b", "own"), at_engine=True) == ("p:a", "p:b")
        assert part_keys(("own",), at_engine=True) == ()
        assert part_keys((), at_engine=True) == ()

    def test_plain_server_says_nothing_about_parts_at_engines(self) -> None:
        """A server that ignores the parts of a prompt serves requests with any of them."""
        engine = part_keys(("a", "own"), at_engine=True)
        assert not set(engine) & set(part_keys(("a", "own"), at_engine=False))

    def test_repeated_part_has_one_key(self) -> None:
        """Otherwise a request would count twice for the part."""
        assert part_keys(("a", "a", "own"), at_engine=True) == ("p:a",)

    def test_long_ids_and_many_parts_are_bounded(self) -> None:
        """A caller chooses ids and their number; they go into datagrams and tables."""
        first, second = part_keys(("a" * 5000, "a" * 5001, "own"), at_engine=True)
        assert first != second
        assert max(len(first), len(second)) <= len("p:") + 16
        assert len(part_keys([str(n) for n in range(5000)], at_engine=True)) == MAX_PARTS

    def test_key_says_whether_it_is_a_part(self) -> None:
        """The prefix of work that prompt engines do does not hide it."""
        keys = ("f00d", *part_keys(("a", "own"), at_engine=True))
        assert [is_part_key(key) for key in keys] == [False, True]
        assert [is_part_key(key) for key in prompt_only_keys(keys)] == [False, True]
        assert not set(keys) & set(prompt_only_keys(keys))
