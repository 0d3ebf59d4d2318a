"""Tests of the day files for the users' bench."""

from __future__ import annotations

import tomllib
from pathlib import Path

from crankhinge_bench._days import MAX_START_S, MIN_START_S, PLANNED_KINDS, list_variants, make_days
from crankhinge_bench.main import main

SITE = {"services": [{"name": "plain"}, {"name": "engines", "llm": {}}]}


class TestDays:
    """Day files that are generated from the description of a site."""

    def test_every_variant_gets_the_requested_number_of_days(self) -> None:
        """With 3 days per variant there are three times as many days as variants."""
        drawn = list(make_days(SITE, days_per_variant=3, mixed_days=0, seed=1))
        assert len(drawn) == 3 * len(list_variants())
        seen = {(row["kind"], row["how"]) for day in drawn for row in day.events}
        assert seen == set(list_variants())

    def test_same_seed_gives_the_same_days(self) -> None:
        """A day in which a rule broke can be generated again from its seed."""
        first, again = (
            list(make_days(SITE, days_per_variant=1, mixed_days=5, seed=7)) for _ in range(2)
        )
        assert first == again
        assert first != list(make_days(SITE, days_per_variant=1, mixed_days=5, seed=8))

    def test_only_chosen_kinds_occur_up_to_the_maximum_number(self) -> None:
        """Mixed days have 2 to *max_events* events of the chosen kinds, some of them twice."""
        chosen = {"big_config", "config_change"}
        drawn = list(
            make_days(SITE, days_per_variant=0, mixed_days=40, seed=5, kinds=chosen, max_events=5)
        )
        assert {row["kind"] for day in drawn for row in day.events} == chosen
        assert {len(day.events) for day in drawn} == {2, 3, 4, 5}

    def test_day_files_can_be_parsed(self) -> None:
        """A file lists planned operations and faults apart; each start lies within its bounds."""
        for day in make_days(SITE, days_per_variant=1, mixed_days=20, seed=3):
            read = tomllib.loads(day.to_toml())
            assert read["name"] == day.name
            rows = read["plan"] + read["faults"]
            assert len(rows) == len(day.events)
            assert all(row["kind"] in PLANNED_KINDS for row in read["plan"])
            assert all(MIN_START_S <= row["at"] <= MAX_START_S for row in rows)


class TestPlay:
    """The ``days`` command with ``--play``."""

    def test_status_is_1_if_a_rule_broke(self, tmp_path: Path, capsys: object) -> None:
        """A broken rule in the output of the command, or its failure, gives status 1."""
        site = tmp_path / "site.toml"
        site.write_text('services = [{ name = "a", llm = { x = 1 } }]')
        words = ["days", str(site), "--out", str(tmp_path / "d"), "--each", "0", "--pairs", "2"]
        assert main(words) == 0
        assert main([*words, "--play", "echo day 0.5 BROKEN: LOST 2 (else 0.3)"]) == 1
        assert main([*words, "--play", "echo calm"]) == 0
        assert main([*words, "--play", "false"]) == 1
        assert main([*words, "--kinds", "meteor"]) != 0
