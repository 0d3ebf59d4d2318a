"""Tests of the deploy file and of the settings template that the platform fills in."""

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
TEMPLATE_VALUES = {
    "node": "frontend-a-1",
    "zone": "a",
    "ip": "10.1.0.38",
    "listen": {"front": "10.1.0.38:8149", "readiness": "10.1.0.38:8141"},
    "internal_ports": [7380, 7395],
    "platform": {"address": "10.200.1.7:8142"},
    "bounds": {"grace_s": 8, "config_apply_ms": 4000, "drain_ms": 2500, "contact_ms": 5000},
}


def fill_template(template: str, values: dict[str, Any] = TEMPLATE_VALUES) -> str:
    """Fill in a template as the platform does.

    A placeholder is a dotted path into *values*; with the suffix ``|json``, its value is written as
    JSON. A section is left out if its path has no value.
    """

    def find_value(path: str) -> Any:
        found: Any = values
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        return found

    def fill_section(match: re.Match[str]) -> str:
        return match[2] if find_value(match[1]) else ""

    def fill_value(match: re.Match[str]) -> str:
        path, _, suffix = match[1].partition("|")
        found = find_value(path)
        return json.dumps(found) if suffix == "json" else str(found)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template)
    return re.sub(r"\{\{([^}]+)\}\}", fill_value, template)


class TestDeploy:
    """Files that the platform reads to deploy the gateway."""

    def test_filled_template_is_valid_settings(self) -> None:
        """The gateway refuses settings with unknown keys or placeholders that were not filled."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        text = fill_template((ROOT / deploy["roles"]["gateway"]["template"]).read_text())
        settings = msgspec.convert(tomllib.loads(text), GatewaySettings)
        assert settings.listen == "10.1.0.38:8149"
        assert settings.ready_path == "/v1/ready"
        assert settings.drain_s == 8
        assert (settings.apply_s, settings.leave_s, settings.contact_s) == (4.0, 2.5, 5.0)

    def test_missing_bounds_have_defaults(self) -> None:
        """A deployment that states no optional bounds must be able to start."""
        values = {**TEMPLATE_VALUES, "bounds": {"grace_s": 8}}
        text = fill_template((ROOT / "deploy" / "gateway.toml.template").read_text(), values)
        settings = msgspec.convert(tomllib.loads(text), GatewaySettings)
        assert (settings.apply_s, settings.leave_s, settings.contact_s) == (2.0, 2.0, 3.0)

    def test_retry_budget_follows_the_deployment_ratio(self) -> None:
        """A deployment that allows a twentieth must not get the default of about a seventh."""
        values = {**TEMPLATE_VALUES, "bounds": {"grace_s": 8, "retry_budget_ratio": 0.05}}
        text = fill_template((ROOT / "deploy" / "gateway.toml.template").read_text(), values)
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

    def test_memory_limit_of_the_deployment_is_optional(self) -> None:
        """Without it, buffers are not bounded, as in deployments that state no limit."""
        template = (ROOT / "deploy" / "gateway.toml.template").read_text()
        values = {**TEMPLATE_VALUES, "limits": {"memory_mb": 128}}
        for filled, memory_mb in ((values, 128), (TEMPLATE_VALUES, None)):
            text = fill_template(template, filled)
            settings = msgspec.convert(tomllib.loads(text), GatewaySettings)
            assert settings.memory_mb == memory_mb

    def test_metrics_address_matches_the_settings(self) -> None:
        """The platform reads metrics from the port and path that the deploy file states."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        port, _, path = deploy["roles"]["gateway"]["metrics"].partition("/")
        text = fill_template((ROOT / "deploy" / "gateway.toml.template").read_text())
        assert tomllib.loads(text)["metrics"].endswith(f":{port}")
        assert path == "metrics"

    def test_requirements_are_locked(self) -> None:
        """The deployed versions of libraries must be those that the tests use."""
        locked = set((ROOT / "requirements.lock").read_text().split())
        deployed = (ROOT / "deploy" / "requirements.txt").read_text().split()
        assert set(deployed) <= locked

    def test_settings_path_variable_is_named_after_the_product(self) -> None:
        """The platform derives this environment variable's name from the product's name."""
        assert SETTINGS_PATH == "CRANKHINGE_CONFIG"
