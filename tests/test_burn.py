"""Tests of the report of ``crankhinge-burn``."""

from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from crankhinge.burn._log_events import parse_line
from crankhinge.burn.main import main
from test_config import BUNDLE_TEMPLATE

LOG_LINE = (
    "ts=2026-12-02T12:00:{second:02d}.000000Z level=info program=crankhinge-entry event={event} "
    'member={member} model=m1 {fields} read_tokens=100 wasted_tokens={wasted} why="a \\"b\\" c"\n'
)


@pytest.fixture
def files(tmp_path: Path) -> list[str]:
    """Return the command's arguments: the paths of a log of 20 requests and of a bundle."""
    log = tmp_path / "entry.log"
    with log.open("w") as file:
        for second in range(20):
            late = second == 3
            fields = f"first_ms={900 if late else 100} gap_ms=30"
            event = "answered"
            if second == 7:
                event, fields = "request_failed", "code=overloaded"
            if second == 9:
                event, fields = "request_failed", "code=unknown-model"
            member = "naas" if second % 2 else "swords"
            wasted = 100 if late else 0
            file.write(
                LOG_LINE.format(
                    second=second, event=event, member=member, fields=fields, wasted=wasted
                )
            )
        file.write("not a log line\n")
    bundle = tmp_path / "bundle.toml"
    bundle.write_text(BUNDLE_TEMPLATE.format(version=4))
    return [str(log), "--bundle", str(bundle)]


class TestReport:
    """The contents of the report and its output formats."""

    def test_text(
        self, files: list[str], capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
    ) -> None:
        """Late and refused requests spend the error budget; errors of the caller do not."""
        assert main(files) == 0
        assert capsys.readouterr().out == snapshot

    def test_page_and_json(self, files: list[str], tmp_path: Path) -> None:
        """The HTML page embeds its plots, so that it can be sent as a single file."""
        page, data = tmp_path / "r.html", tmp_path / "r.json"
        assert main([*files, "--html", str(page), "--json", str(data)]) == 0
        text = page.read_text()
        assert text.count("data:image/png;base64,") == 2
        assert "http://" not in text
        assert '"wasted_tokens": 100' in data.read_text()

    def test_missing_log_is_named_in_the_error(
        self, files: list[str], capsys: pytest.CaptureFixture[str]
    ) -> None:
        """The exit status is 2, so that a script notices the mistake, too."""
        assert main(["/nowhere.log", *files[1:]]) == 2
        assert "/nowhere.log: cannot be read" in capsys.readouterr().err


class TestLines:
    """Parsing of log lines."""

    def test_quoted_values_lose_quotes_and_escapes(self) -> None:
        """A log line quotes values that contain spaces or quotation marks."""
        assert parse_line(r'a=1 b="x \"y\" z" c=') == {"a": "1", "b": 'x "y" z', "c": ""}
