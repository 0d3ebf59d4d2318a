"""The page of every word that the contract allows: complete for the adapter, its tests there."""

from __future__ import annotations

import ast
import re
from pathlib import Path
from typing import Any

import msgspec
import pytest

from crankhinge.gateway import _peer_messages
from crankhinge.gateway._settings import GatewaySettings
from crankhinge_platform import dialect, source

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs/design/contract.md").read_text()
# What stands in the store beside the words of others: ours, and its own shape.
NAMED = re.compile(r"`(test_\w+)(?:::(\w+))?`")


def words_of_heads() -> set[str]:
    """Return the header fields that the adapter knows by name."""
    names = {
        value
        for name, value in vars(dialect).items()
        if name.isupper() and isinstance(value, str) and name not in ("LEAVING_VALUE", "BEARER")
    }
    return names | dialect.ROUTER_ONLY_FIELDS


def structs(module: Any) -> list[type[msgspec.Struct]]:
    """Return the messages that a module defines."""
    return [
        kind
        for kind in vars(module).values()
        if isinstance(kind, type)
        and issubclass(kind, msgspec.Struct)
        and kind.__module__ == module.__name__
    ]


def words_of_bodies() -> set[str]:
    """Return the fields of entries, configurations and answers that the adapter decodes."""
    lists = {"routes", "services", "limits", "tenants", "engine"}
    kinds = structs(dialect) + structs(source)
    return {field for kind in kinds for field in kind.__struct_fields__} - lists


def words_of_instances() -> set[str]:
    """Return the tags of what instances tell each other."""
    tags = {kind.__struct_config__.tag for kind in structs(_peer_messages)}
    return {tag for tag in tags if isinstance(tag, str)}


class TestPage:
    """What stands on it."""

    @pytest.mark.parametrize(
        "words",
        [words_of_heads, words_of_bodies, words_of_instances],
        ids=["heads", "bodies", "instances"],
    )
    def test_has_each_word_that_is_decoded(self, words: Any) -> None:
        """A new one needs its row: whom it binds, until when, its test."""
        assert len(words()) > 3
        assert sorted(word for word in words() if f"`{word}`" not in PAGE) == []

    def test_has_each_setting(self) -> None:
        """Those that come from a sheet, too."""
        assert sorted(name for name in GatewaySettings.__struct_fields__ if name not in PAGE) == []

    def test_names_tests_that_are_there(self) -> None:
        """A test that was renamed or taken out is missed here."""
        named = set(NAMED.findall(PAGE))
        assert len(named) > 50
        assert sorted(row for row in named if not is_there(*row)) == []

    def test_each_row_names_a_test_or_why_there_is_none(self) -> None:
        """Whatever is not decoded says so, or that it is left."""
        reasons = ("left", "nobody", "unknown")
        rows = [row for row in PAGE.splitlines() if row.startswith("| ")]
        bare = [row for row in rows if not NAMED.search(row)]
        heads = [row for row in bare if row.startswith("| word |")]
        assert len(rows) > 60
        assert [
            row
            for row in bare
            if row not in heads and not any(reason in row.lower() for reason in reasons)
        ] == []


def is_there(module: str, name: str) -> bool:
    """Whether a test file, and in it a class or function, is there."""
    path = ROOT / "tests" / f"{module}.py"
    if not path.exists():
        return False
    kinds = (ast.ClassDef, ast.FunctionDef)
    nodes = ast.walk(ast.parse(path.read_text()))
    return not name or any(isinstance(node, kinds) and node.name == name for node in nodes)
