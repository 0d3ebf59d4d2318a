"""Tests that bad input to the ports and files of the programs causes errors but no harm."""

import json
import socket
import time
import urllib.request
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from syrupy.assertion import SnapshotAssertion

from crankhinge.agent._program import run as agent_main
from crankhinge.ctl.main import main as ctl_main
from crankhinge.entry._program import run as entry_main
from crankhinge_bench._cluster import Cluster
from crankhinge_bench._procs import HOST, http_json
from crankhinge_bench.main import main as bench_main


def send_and_receive(port: int, data: bytes, *, keep_open: bool = False) -> bytes:
    """Send bytes and return the response, read until the peer closes or a timeout passes.

    Args:
        port: TCP port to connect to.
        data: the bytes to send.
        keep_open: whether to leave the sending direction open and to wait longer.
    """
    with socket.create_connection((HOST, port), 2.0) as sock:
        # The longer timeout covers a slow machine; random bytes may get no response at all.
        sock.settimeout(10.0 if keep_open else 0.3)
        sock.sendall(data)
        if not keep_open:
            sock.shutdown(socket.SHUT_WR)
        out = b""
        try:
            while chunk := sock.recv(65536):
                out += chunk
        except TimeoutError:
            pass
        return out


def request_succeeds(cluster: Cluster) -> bool:
    """Return whether the cluster answers a valid request."""
    body = json.dumps({"model": "m1", "prompt": "still there", "max_tokens": 2}).encode()
    req = urllib.request.Request(
        f"http://{HOST}:{cluster.entry_ports[0]}/v1/completions",
        data=body,
        headers={"Authorization": f"Bearer {cluster.credentials['naas-office']}"},
    )
    with urllib.request.urlopen(req, timeout=5) as resp:
        return bool(resp.status == 200)


class TestHttp:
    """Bad input to the port on which an entry serves callers."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"\x00\x01\x02 garbage\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\n\r\n", b"400"),
            (b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nx: " + b"y" * 40000, b"413"),
            (
                b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n"
                + b"z" * 5_000_000,
                b"413",
            ),
            (b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: x\r\n\r\n", b"400"),
        ],
    )
    def test_malformed_request_gets_its_status(
        self, cluster: Cluster, data: bytes, status: bytes
    ) -> None:
        """The response has outcome "not-run", and the entry serves a valid request afterwards."""
        out = send_and_receive(cluster.entry_ports[0], data, keep_open=True)
        assert out.startswith(b"HTTP/1.1 " + status)
        assert b"x-request-outcome: not-run" in out
        assert request_succeeds(cluster)

    def test_unfinished_requests_do_not_block_others(self, cluster: Cluster) -> None:
        """Other callers are served while some connections wait for the rest of a request."""
        socks = [socket.create_connection((HOST, cluster.entry_ports[0])) for _ in range(50)]
        for sock in socks:
            sock.sendall(b"POST /v1/comp")
        assert request_succeeds(cluster)
        for sock in socks:
            sock.close()


class TestEveryPort:
    """Random bytes sent to every listening port of the cluster."""

    @given(st.binary(min_size=1, max_size=400))
    @settings(
        max_examples=8,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=[HealthCheck.function_scoped_fixture],
    )
    def test_random_bytes_stop_no_process(self, cluster: Cluster, data: bytes) -> None:
        """After random bytes, every process still runs and valid requests still succeed."""
        for port in [*cluster.entry_ports, *(place.port for place in cluster.agents)]:
            send_and_receive(port, data)
        assert all(proc.poll() is None for proc in cluster.procs.values())
        assert request_succeeds(cluster)


class TestSettings:
    """Invalid settings files, scenario files and command lines."""

    @pytest.mark.parametrize("main", [entry_main, agent_main], ids=["entry", "agent"])
    @pytest.mark.parametrize("text", ["[[", "surprise = 1", 'name = "a"\nport = 99999'])
    def test_bad_settings(
        self,
        main: object,
        text: str,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        snapshot: SnapshotAssertion,
    ) -> None:
        """The exit status is 2, and the message names the file, the invalid key and the reason."""
        path = tmp_path / "settings.toml"
        path.write_text(text)
        assert main(["--check", str(path)]) == 2  # type: ignore[operator]
        assert capsys.readouterr().err.replace(str(tmp_path), "DIR") == snapshot

    def test_unknown_scenario_key_is_named(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """A misspelled key in a scenario file must not be ignored; the exit status is 2."""
        path = tmp_path / "scenario.toml"
        path.write_text('name = "x"\nsurprise = 1\n')
        assert bench_main(["run", str(path)]) == 2
        assert "surprise" in capsys.readouterr().err

    @pytest.mark.parametrize(
        "args",
        [
            ["bundle", "check", "DIR/none.toml"],
            ["bundle", "check", "DIR/bad.toml"],
            ["bundle", "sign", "DIR/good.toml", "--partner", "x", "--key", "k", "--out", "o"],
            ["bundle", "check", "DIR/good.toml"],
        ],
    )
    def test_ctl(
        self,
        args: list[str],
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        snapshot: SnapshotAssertion,
    ) -> None:
        """Output and exit status of ``crankhinge-ctl`` for bad and good bundles are recorded."""
        (tmp_path / "bad.toml").write_text("version = 0\n[[partners]]\nname='p'\n")
        (tmp_path / "good.toml").write_text("version = 1\n[[partners]]\nname='p'\n")
        status = ctl_main([arg.replace("DIR", str(tmp_path)) for arg in args])
        seen = capsys.readouterr()
        text = f"{status}\n{seen.out}{seen.err}"
        assert text.replace(str(tmp_path), "DIR") == snapshot


class TestCancelledStream:
    """Engine memory after a caller cancelled its stream."""

    def test_cancelled_stream_frees_its_slot(self, cluster: Cluster) -> None:
        """After a caller disconnects, the engine must not decode the rest of the answer."""
        body = json.dumps({"model": "m1", "prompt": "x", "max_tokens": 500, "stream": True})
        head = (
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
            f"authorization: Bearer {cluster.credentials['naas-office']}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        with socket.create_connection((HOST, cluster.entry_ports[0])) as sock:
            sock.sendall((head + body).encode())
            assert sock.recv(100)
        held = 1
        for _ in range(100):
            decode = [p for p in cluster.agents if p.kind == "decode"]
            held = sum(http_json("GET", p.backend_port, "/stats")["running"] for p in decode)
            if not held:
                break
            time.sleep(0.05)
        assert held == 0
