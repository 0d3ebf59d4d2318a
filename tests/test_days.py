"""Tests of the day files for the users' bench."""

from __future__ import annotations

import tomllib
from pathlib import Path

from crankhinge_bench._days import FIRST_S, LAST_S, PLANNED, days, variants
from crankhinge_bench.main import main

SITE = {"services": [{"name": "plain"}, {"name": "engines", "llm": {}}]}


class TestDays:
    """What is drawn."""

    def test_every_variant_stands_alone_the_asked_number_of_times(self) -> None:
        """Each kind with each variant."""
        drawn = list(days(SITE, each=3, pairs=0, seed=1))
        assert len(drawn) == 3 * len(variants())
        seen = {(row["kind"], row["how"]) for day in drawn for row in day.troubles}
        assert seen == set(variants())

    def test_a_seed_draws_the_same_days_again(self) -> None:
        """What broke can be played again."""
        first, again = (list(days(SITE, each=1, pairs=5, seed=7)) for _ in range(2))
        assert first == again
        assert first != list(days(SITE, each=1, pairs=5, seed=8))

    def test_kinds_may_be_chosen_and_come_in_numbers(self) -> None:
        """Only these are drawn, up to as many as asked for, at times the same twice."""
        chosen = {"big_config", "config_change"}
        drawn = list(days(SITE, each=0, pairs=40, seed=5, kinds=chosen, most=5))
        assert {row["kind"] for day in drawn for row in day.troubles} == chosen
        assert {len(day.troubles) for day in drawn} == {2, 3, 4, 5}

    def test_files_are_read_back(self) -> None:
        """Planned work and faults stand apart; moments lie within the day."""
        for day in days(SITE, each=1, pairs=20, seed=3):
            read = tomllib.loads(day.text())
            assert read["name"] == day.name
            rows = read["plan"] + read["faults"]
            assert len(rows) == len(day.troubles)
            assert all(row["kind"] in PLANNED for row in read["plan"])
            assert all(FIRST_S <= row["at"] <= LAST_S for row in rows)


class TestPlay:
    """Playing them with a command."""

    def test_what_broke_is_listed_by_rule(self, tmp_path: Path, capsys: object) -> None:
        """The command's output is searched for broken rules; one is enough for status 1."""
        site = tmp_path / "site.toml"
        site.write_text('services = [{ name = "a", llm = { x = 1 } }]')
        words = ["days", str(site), "--out", str(tmp_path / "d"), "--each", "0", "--pairs", "2"]
        assert main(words) == 0
        assert main([*words, "--play", "echo day 0.5 BROKEN: LOST 2 (else 0.3)"]) == 1
        assert main([*words, "--play", "echo calm"]) == 0
        assert main([*words, "--play", "false"]) == 1
        assert main([*words, "--kinds", "meteor"]) != 0
