"""Tests that the commands of the operators' pages work and that the reference is up to date."""

import re
import shlex
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from crankhinge.ctl.main import main as ctl_main
from crankhinge_bench._procs import HOST, free_ports, http_json
from test_config import BUNDLE_TEMPLATE

ROOT = Path(__file__).parent.parent
PAGES = ROOT / "docs" / "operators"


@pytest.fixture
def platform() -> Iterator[int]:
    """Start a key-value service for this test and return its port."""
    [port] = free_ports(1)
    command = [sys.executable, "-m", "crankhinge_standins.main", "platform", "--port", str(port)]
    proc = subprocess.Popen(command)
    for _ in range(200):
        try:
            http_json("GET", port, "/stats")
            break
        except OSError:
            time.sleep(0.05)
    else:
        proc.kill()
        pytest.fail(f"no response on port {port}: {command}, status {proc.wait()}")
    yield port
    proc.kill()
    proc.wait()


class TestBundlesPage:
    """The commands of docs/operators/bundles.md."""

    def test_every_command_works(
        self,
        platform: int,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Each command on the page exits with status 0 if they run in the order of the page."""
        monkeypatch.chdir(tmp_path)
        (tmp_path / "bundle.toml").write_text(BUNDLE_TEMPLATE.format(version=1))
        page = (PAGES / "bundles.md").read_text()
        commands = re.findall(r"^    crankhinge-ctl (.*)$", page, re.MULTILINE)
        assert len(commands) == 9
        keys = {}
        for command in commands:
            assert ctl_main(shlex.split(command)) == 0
            out = capsys.readouterr().out
            made = re.search(r"private key in (\S+)\.key .*\npublic key (\w+)", out)
            if made:
                keys[made[1]] = made[2]
            if len(keys) == 2 and not (tmp_path / "ctl.toml").exists():
                lines = [f'key_value = "{HOST}:{platform}"', "[keys]"]
                lines += [f'{partner} = "{key}"' for partner, key in keys.items()]
                (tmp_path / "ctl.toml").write_text("\n".join(lines))
        assert "version 1" in out

    def test_lost_race_shows_the_difference(
        self,
        platform: int,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """The command of the operator who loses exits with status 3 and prints the difference."""
        monkeypatch.chdir(tmp_path)
        ctl_main(["key", "new", "p.key"])
        public = capsys.readouterr().out.split()[-1]
        Path("ctl.toml").write_text(f'key_value = "{HOST}:{platform}"\n[keys]\np = "{public}"\n')
        for name, patience in (("mine", 1.5), ("theirs", 2.5)):
            text = f'version = 1\n[[partners]]\nname = "p"\n[policy]\npatience = {patience}\n'
            Path(f"{name}.toml").write_text(text)
            sign = ["bundle", "sign", f"{name}.toml", "--partner", "p", "--key", "p.key"]
            assert ctl_main([*sign, "--out", f"{name}.signed"]) == 0
        settings = ["--settings", "ctl.toml"]
        assert ctl_main(["bundle", "publish", "theirs.signed", *settings]) == 0
        before = Path("mine.signed").read_bytes()
        assert ctl_main(["bundle", "publish", "mine.signed", *settings]) == 3
        err = capsys.readouterr().err
        assert "-patience = 2.5" in err and "+patience = 1.5" in err
        assert Path("mine.signed").read_bytes() == before


class TestReference:
    """The page docs/operators/reference.md."""

    def test_page_is_up_to_date(self, capsys: pytest.CaptureFixture[str]) -> None:
        """The page is identical to the output of the command."""
        assert ctl_main(["reference"]) == 0
        assert capsys.readouterr().out == (PAGES / "reference.md").read_text()
