"""Tests of the deploy file and the settings template."""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from crankhinge.gateway import GatewaySettings
from crankhinge.gateway._program import new_retry_budget
from crankhinge_platform.gateway import SETTINGS_PATH

ROOT = Path(__file__).resolve().parent.parent
GIVEN = {
    "node": "frontend-a-1",
    "zone": "a",
    "ip": "10.1.0.38",
    "listen": {"front": "10.1.0.38:8149", "readiness": "10.1.0.38:8141"},
    "internal_ports": [7380, 7395],
    "platform": {"address": "10.200.1.7:8142"},
    "bounds": {"grace_s": 8, "config_apply_ms": 4000, "drain_ms": 2500, "contact_ms": 5000},
}


def fill(template: str, given: dict[str, Any] = GIVEN) -> str:
    """Fill gaps as the platform does: a path of names, as JSON where asked."""

    def look_up(path: str) -> Any:
        found: Any = given
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        return found

    def section(match: re.Match[str]) -> str:
        return match[2] if look_up(match[1]) else ""

    def value(gap: re.Match[str]) -> str:
        path, _, form = gap[1].partition("|")
        found = look_up(path)
        return json.dumps(found) if form == "json" else str(found)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class TestDeploy:
    """What the platform is given."""

    def test_the_template_makes_settings_that_are_accepted(self) -> None:
        """Every gap is filled, every key is known."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        text = fill((ROOT / deploy["roles"]["gateway"]["template"]).read_text())
        settings = msgspec.convert(tomllib.loads(text), GatewaySettings)
        assert settings.listen == "10.1.0.38:8149"
        assert settings.ready_path == "/v1/ready"
        assert settings.drain_s == 8
        assert (settings.apply_s, settings.leave_s, settings.contact_s) == (4.0, 2.5, 5.0)

    def test_bounds_that_are_not_stated_have_defaults(self) -> None:
        """A deployment without them still starts."""
        given = {**GIVEN, "bounds": {"grace_s": 8}}
        text = fill((ROOT / "deploy" / "gateway.toml.template").read_text(), given)
        settings = msgspec.convert(tomllib.loads(text), GatewaySettings)
        assert (settings.apply_s, settings.leave_s, settings.contact_s) == (2.0, 2.0, 3.0)

    def test_repeats_are_those_that_the_sheet_allows(self) -> None:
        """A sheet that allows a twentieth must not get the seventh of others."""
        given = {**GIVEN, "bounds": {"grace_s": 8, "retry_budget_ratio": 0.05}}
        text = fill((ROOT / "deploy" / "gateway.toml.template").read_text(), given)
        settings = msgspec.convert(tomllib.loads(text), GatewaySettings)
        assert settings.repeat_ratio == 0.05
        budget = new_retry_budget(settings)
        for _ in range(1000):
            budget.record_first_attempt()
        spent = 0
        for _ in range(1000):
            budget.record_first_attempt()
            spent += budget.try_retry()
        assert 20 <= spent <= 50

    def test_metrics_are_where_the_settings_say(self) -> None:
        """Port and path of the deploy file are those of the template."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        port, _, path = deploy["roles"]["gateway"]["metrics"].partition("/")
        text = fill((ROOT / "deploy" / "gateway.toml.template").read_text())
        assert tomllib.loads(text)["metrics"].endswith(f":{port}")
        assert path == "metrics"

    def test_requirements_are_the_locked_ones(self) -> None:
        """What is played is what is tested."""
        locked = set((ROOT / "requirements.lock").read_text().split())
        wanted = (ROOT / "deploy" / "requirements.txt").read_text().split()
        assert set(wanted) <= locked

    def test_the_variable_with_the_settings_path_is_the_products(self) -> None:
        """The platform derives it from the product's name."""
        assert SETTINGS_PATH == "CRANKHINGE_CONFIG"
