"""Checks that the contract page lists every name the adapter decodes and only existing tests."""

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
EVENTS_PAGE = (ROOT / "docs/design/order-of-events.md").read_text()
TEST_REFERENCE = re.compile(r"`(test_\w+)(?:::(\w+))?`")


def header_names() -> set[str]:
    """Return the header fields that the adapter knows by name."""
    names = {
        value
        for name, value in vars(dialect).items()
        if name.isupper() and isinstance(value, str) and name not in ("LEAVING_VALUE", "BEARER")
    }
    return names | dialect.RESERVED_FIELDS


def structs(module: Any) -> list[type[msgspec.Struct]]:
    """Return the message classes that a module defines."""
    return [
        struct
        for struct in vars(module).values()
        if isinstance(struct, type)
        and issubclass(struct, msgspec.Struct)
        and struct.__module__ == module.__name__
    ]


def body_fields() -> set[str]:
    """Return the fields of entries, configurations and responses that the adapter decodes."""
    lists = {"routes", "services", "limits", "tenants", "engine"}
    messages = structs(dialect) + structs(source)
    return {field for struct in messages for field in struct.__struct_fields__} - lists


def peer_message_tags() -> set[str]:
    """Return the tags of the peer messages between instances."""
    tags = {struct.__struct_config__.tag for struct in structs(_peer_messages)}
    return {tag for tag in tags if isinstance(tag, str)}


class TestPage:
    """Contents of the page."""

    @pytest.mark.parametrize(
        "names_of",
        [header_names, body_fields, peer_message_tags],
        ids=["heads", "bodies", "instances"],
    )
    def test_page_lists_each_decoded_name(self, names_of: Any) -> None:
        """The row of a name says whom it binds, until when, and which test checks it."""
        assert len(names_of()) > 3
        assert sorted(name for name in names_of() if f"`{name}`" not in PAGE) == []

    def test_page_lists_each_setting(self) -> None:
        """Settings are names that operators write, so the page must list them all."""
        assert sorted(name for name in GatewaySettings.__struct_fields__ if name not in PAGE) == []

    def test_page_names_only_existing_tests(self) -> None:
        """A renamed or removed test must be changed on the page, too."""
        references = set(TEST_REFERENCE.findall(PAGE))
        assert len(references) > 50
        assert sorted(row for row in references if not is_defined(*row)) == []

    def test_each_row_names_a_test_or_a_reason(self) -> None:
        """A row without a test says that the name is not decoded or still open."""
        reasons = ("left", "nobody", "unknown")
        rows = [row for row in PAGE.splitlines() if row.startswith("| ")]
        without_test = [row for row in rows if not TEST_REFERENCE.search(row)]
        header_rows = [row for row in without_test if row.startswith("| word |")]
        assert len(rows) > 60
        assert [
            row
            for row in without_test
            if row not in header_rows and not any(reason in row.lower() for reason in reasons)
        ] == []


class TestEventsPage:
    """Contents of the page on the order of events."""

    def test_page_names_only_existing_tests(self) -> None:
        """A renamed or removed test must be changed on the page, too."""
        references = set(TEST_REFERENCE.findall(EVENTS_PAGE))
        assert len(references) > 15
        assert sorted(row for row in references if not is_defined(*row)) == []

    def test_each_row_names_a_test_or_a_reason(self) -> None:
        """A row without a test says what else holds it, or that it is left."""
        rows = [row for row in EVENTS_PAGE.splitlines() if row.startswith("| ")]
        rows = [row for row in rows if not row.startswith("| between |")]
        reasons = ("the soak (", "**left", "| none: ")
        assert len(rows) > 25
        assert [
            row
            for row in rows
            if not TEST_REFERENCE.search(row) and not any(reason in row for reason in reasons)
        ] == []


def is_defined(module: str, name: str) -> bool:
    """Return whether a test file exists and defines a class or function of that name."""
    path = ROOT / "tests" / f"{module}.py"
    if not path.exists():
        return False
    node_types = (ast.ClassDef, ast.FunctionDef)
    nodes = ast.walk(ast.parse(path.read_text()))
    return not name or any(isinstance(node, node_types) and node.name == name for node in nodes)
