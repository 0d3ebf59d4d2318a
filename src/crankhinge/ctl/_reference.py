"""``crankhinge-ctl reference``: documents settings and bundles from their classes' docstrings."""

from __future__ import annotations

import argparse
import inspect
import re
from typing import Any

import msgspec

from crankhinge.agent._settings import AgentSettings
from crankhinge.config import (
    Adapter,
    Bundle,
    Member,
    Model,
    Partner,
    Policy,
    Pool,
    Service,
    Transfer,
)
from crankhinge.ctl._bundle import CtlSettings
from crankhinge.entry._settings import EntrySettings
from crankhinge.gateway import GatewaySettings
from crankhinge.peers import PeerSettings

_ATTRIBUTE_LINE = re.compile(r"^ {4}(\w+): (.*)$")

SETTINGS_STRUCTS: dict[str, type[msgspec.Struct]] = {
    "Every entry and agent": PeerSettings,
    "Entry": EntrySettings,
    "Agent": AgentSettings,
    "Gateway": GatewaySettings,
    "ctl": CtlSettings,
}
BUNDLE_STRUCTS: dict[str, type[msgspec.Struct]] = {
    "Top level": Bundle,
    "`[policy]`": Policy,
    "`[transfer]`": Transfer,
    "`[[partners]]`": Partner,
    "`[[members]]`": Member,
    "`[[models]]`": Model,
    "`[[models.adapters]]`": Adapter,
    "`[[pools]]`": Pool,
    "`[[services]]`": Service,
}


def _attribute_descriptions(struct_type: type[msgspec.Struct]) -> dict[str, str]:
    """Return the description of each attribute in the docstring of a settings or bundle class."""
    text = inspect.getdoc(struct_type) or ""
    descriptions: dict[str, str] = {}
    attribute = ""
    for line in text.partition("Attributes:\n")[2].splitlines():
        match = _ATTRIBUTE_LINE.match(line)
        if match:
            attribute = match[1]
            descriptions[attribute] = match[2]
        elif attribute and line.strip():
            descriptions[attribute] += " " + line.strip()
    return descriptions


def _format_default(field: Any) -> str:
    if field.default is not msgspec.NODEFAULT:
        return (
            f"`{field.default!r}`" if not isinstance(field.default, msgspec.Struct) else "as below"
        )
    if field.default_factory is not msgspec.NODEFAULT:
        return "empty"
    return "needed"


def _render_table(struct_type: type[msgspec.Struct]) -> list[str]:
    descriptions = _attribute_descriptions(struct_type)
    fields = {field.name: field for field in msgspec.structs.fields(struct_type)}
    lines = ["| key | default | meaning |", "|---|---|---|"]
    for attribute, meaning in descriptions.items():
        lines.append(f"| `{attribute}` | {_format_default(fields[attribute])} | {meaning} |")
    return lines


def _render_section(title: str, struct_types: dict[str, type[msgspec.Struct]]) -> list[str]:
    lines = [f"# {title}", ""]
    for heading, struct_type in struct_types.items():
        lines += [f"## {heading}", "", *_render_table(struct_type), ""]
    return lines


def render_reference(_args: argparse.Namespace) -> str:
    """Return the text of the page docs/operators/reference.md."""
    head = ["<!-- Made by `crankhinge-ctl reference`; a test keeps it up to date. -->", ""]
    settings = _render_section("Settings", SETTINGS_STRUCTS)
    bundle = _render_section("Bundle", BUNDLE_STRUCTS)
    return "\n".join([*head, *settings, *bundle]).rstrip()
