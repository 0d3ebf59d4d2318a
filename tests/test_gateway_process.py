"""Tests of the gateway as a process: signals, settings, exit status."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Iterator
from pathlib import Path

import pytest

from crankhinge_bench._procs import HOST, free_ports, http_json

PATIENCE_S = 20.0


def settings_text(ports: list[int], *, zone: str = "z1") -> str:
    """Return a settings file; nobody listens at the source."""
    front, ready, source, metrics = ports
    return "\n".join(
        (
            'name = "g"',
            f'zone = "{zone}"',
            f'listen = "{HOST}:{front}"',
            f'ready = "{HOST}:{ready}"',
            f'metrics = "{HOST}:{metrics}"',
            f'source = "{HOST}:{source}"',
            "drain_s = 8",
        )
    )


class Program:
    """A running gateway and what it has printed."""

    def __init__(self, folder: Path) -> None:
        self.ports = free_ports(4)
        self.path = folder / "gateway.toml"
        self.out = folder / "out.log"
        self.path.write_text(settings_text(self.ports))
        command = [sys.executable, "-m", "crankhinge_platform.gateway"]
        with self.out.open("w") as out:
            self.proc = subprocess.Popen(
                command,
                stdout=out,
                stderr=subprocess.STDOUT,
                env={**os.environ, "CRANKHINGE_CONFIG": str(self.path)},
            )

    def wait_for(self, text: str) -> None:
        """Return when *text* was printed."""
        until = time.monotonic() + PATIENCE_S
        while text not in self.out.read_text():
            assert time.monotonic() < until, self.out.read_text()
            assert self.proc.poll() is None, self.out.read_text()
            time.sleep(0.05)


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    """Return a running gateway."""
    running = Program(tmp_path)
    running.wait_for("event=started")
    yield running
    running.proc.kill()
    running.proc.wait()


class TestProcess:
    """What operators do to it."""

    def test_reloads_on_a_signal_and_on_a_changed_file(self, program: Program) -> None:
        """Neither ends the process."""
        program.proc.send_signal(signal.SIGHUP)
        program.wait_for("event=reloaded cause=sighup")
        program.path.write_text(settings_text(program.ports, zone="another"))
        program.wait_for("event=reloaded cause=file")
        assert program.proc.poll() is None

    def test_bad_settings_change_nothing(self, program: Program) -> None:
        """The line names file and reason; the process goes on."""
        program.path.write_text("name = 5")
        program.proc.send_signal(signal.SIGHUP)
        program.wait_for("event=reload_failed")
        assert program.proc.poll() is None

    def test_shows_its_metrics_and_the_age_of_what_it_knows(self, program: Program) -> None:
        """Prometheus' text form, also before the source was ever reached."""
        program.wait_for("event=source_lost")
        url = f"http://{HOST}:{program.ports[3]}/metrics"
        with urllib.request.urlopen(url, timeout=PATIENCE_S) as resp:
            page = resp.read().decode()
        assert 'crankhinge_value{what="config_version"} 0.0' in page
        assert 'crankhinge_value{what="servers_heard_s_ago"}' in page

    def test_a_stop_ends_with_status_0(self, program: Program) -> None:
        """Unready at once, then out."""
        program.proc.send_signal(signal.SIGTERM)
        program.wait_for("event=draining")
        assert program.proc.wait(PATIENCE_S) == 0
        assert "event=stopped" in program.out.read_text()

    def test_nothing_is_served_before_a_configuration(self, program: Program) -> None:
        """The balancer is told so."""
        with pytest.raises(OSError, match="503"):
            http_json("GET", program.ports[1], "/readyz")


def ignores_hangups(pid: int) -> bool:
    """Whether a process ignores SIGHUP, as the kernel tells (proc(5), ``SigIgn``)."""
    status = Path(f"/proc/{pid}/status").read_text()
    [mask] = [line.split()[1] for line in status.splitlines() if line.startswith("SigIgn:")]
    return bool(int(mask, 16) >> (signal.SIGHUP - 1) & 1)


def test_a_reload_during_the_start_ends_nothing(tmp_path: Path) -> None:
    """Found by the soak (seeds 119 and 139): SIGHUP ended a process that was still starting."""
    program = Program(tmp_path)
    try:
        until = time.monotonic() + PATIENCE_S
        while not ignores_hangups(program.proc.pid):
            assert "event=started" not in program.out.read_text(), "never ignored before the start"
            assert time.monotonic() < until
            time.sleep(0.001)
        program.proc.send_signal(signal.SIGHUP)
        program.wait_for("event=started")
        program.proc.send_signal(signal.SIGHUP)
        program.wait_for("event=reloaded cause=sighup")
    finally:
        program.proc.kill()
        program.proc.wait()


# A program that is told to reload, and to stop, as the first thing that it does.
TOLD_AT_ONCE = """
import os, signal, sys
import curio, msgspec
from crankhinge._startup_signals import ignore_sighup
from crankhinge.runtime import run_process

class Settings(msgspec.Struct):
    pass

async def serve(settings, log, stopping):
    os.kill(os.getpid(), signal.SIGHUP)
    await curio.sleep(0.2)
    os.kill(os.getpid(), signal.SIGTERM)
    await stopping.wait()

ignore_sighup()
sys.exit(run_process(program="p", description="p", settings_type=Settings, serve=serve,
                     argv=sys.argv[1:], on_reload=lambda settings: print("reloaded")))
"""


def test_a_reload_as_soon_as_the_program_serves_is_acted_on(tmp_path: Path) -> None:
    """Operators saw "started" and sent SIGHUP: 2 of 24 times, on a busy machine, it was lost.

    The program's task ran before the one that installs the handlers; until then SIGHUP is ignored.
    """
    path = tmp_path / "empty.toml"
    path.write_text("")
    command = [sys.executable, "-c", TOLD_AT_ONCE, str(path)]
    done = subprocess.run(command, capture_output=True, text=True, check=False, timeout=PATIENCE_S)
    assert done.returncode == 0
    assert done.stdout == "reloaded\n"


def test_settings_are_checked_whole(tmp_path: Path) -> None:
    """Status 2, with file, key and reason."""
    path = tmp_path / "bad.toml"
    path.write_text(settings_text([1, 2, 3, 4]).replace("drain_s = 8", "drain_s = -1"))
    command = [sys.executable, "-m", "crankhinge_platform.gateway", "--check", str(path)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 2
    assert "bad.toml" in done.stderr
    assert "drain_s" in done.stderr
