"""Tests of the log sink, which drops lines instead of blocking."""

from __future__ import annotations

import fcntl
import os

from crankhinge.runtime import LineSink, get_log
from crankhinge.runtime._sink import MAX_ORDINARY_BURST_LINES, MAX_PENDING_BYTES


def read_all(fd: int) -> str:
    """Return the bytes that can be read from a pipe without waiting, decoded."""
    out = b""
    while True:
        try:
            data = os.read(fd, 1 << 16)
        except BlockingIOError:
            return out.decode()
        if not data:
            return out.decode()
        out += data


def pipe() -> tuple[int, int]:
    """Return the two ends of a small pipe; reading from it does not block."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    return reader, writer


class TestSink:
    """Log lines for a reader that may stop reading."""

    def test_line_is_written_while_reader_keeps_up(self) -> None:
        """Each event becomes one line."""
        reader, writer = pipe()
        get_log(program="p", stream=LineSink(writer)).info("started", a=1)
        assert "event=started a=1" in read_all(reader)

    def test_stopped_reader_does_not_block_writer(self) -> None:
        """Lines are dropped while the reader is stopped, and their number is logged later."""
        reader, writer = pipe()
        sink = LineSink(writer)
        log = get_log(program="p", stream=sink)
        for number in range(5000):
            log.warning("request_failed", request=str(number), why="x" * 100)
        assert sink.dropped > 0
        assert len(sink._pending) <= MAX_PENDING_BYTES
        dropped = sink.dropped
        text = ""
        while sink._pending:
            text += read_all(reader)
            sink.flush()
        log.warning("last")
        text += read_all(reader)
        assert f"event=lines_dropped level=warning count={dropped}" in text
        assert "event=last" in text

    def test_warnings_are_kept_when_ordinary_lines_are_dropped(self) -> None:
        """The limit on lines per second does not apply to warnings."""
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 1 << 20)
        log = get_log(program="p", stream=LineSink(writer))
        for _ in range(int(MAX_ORDINARY_BURST_LINES) + 500):
            log.info("answered")
        log.warning("request_failed", request="q")
        text = read_all(reader)
        assert text.count("event=answered") < MAX_ORDINARY_BURST_LINES + 100
        assert "event=request_failed request=q" in text
