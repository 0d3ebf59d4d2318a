"""Process start-up, supervised tasks, TCP, clocks, logs and metrics."""

from crankhinge.runtime._clock import steady_s
from crankhinge.runtime._fields import HostPort, Port, Seconds, parse_ip_port, split_host_port
from crankhinge.runtime._files import write_json
from crankhinge.runtime._logs import Log, get_log
from crankhinge.runtime._metrics import Metrics
from crankhinge.runtime._process import load_settings, run_process
from crankhinge.runtime._sink import LineSink
from crankhinge.runtime._supervisor import (
    Child,
    RestartLimitReached,
    Supervisor,
    run_until_first_ends,
)
from crankhinge.runtime._tcp import open_tcp, send_all, serve_tcp
from crankhinge.runtime._turns import Turns
from crankhinge.runtime._wall import wall_ms

__all__ = [
    "Child",
    "HostPort",
    "LineSink",
    "Log",
    "Metrics",
    "Port",
    "RestartLimitReached",
    "Seconds",
    "Supervisor",
    "Turns",
    "get_log",
    "load_settings",
    "open_tcp",
    "parse_ip_port",
    "run_process",
    "run_until_first_ends",
    "send_all",
    "serve_tcp",
    "split_host_port",
    "steady_s",
    "wall_ms",
    "write_json",
]
