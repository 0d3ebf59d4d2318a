"""All readers of the product that data of others can reach."""

from __future__ import annotations

import base64
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from crankhinge.adapters import EngineFailed, FleetEntry, InstanceRecord, StoredValue
from crankhinge.adapters.consul import _decode_json as decode_consul
from crankhinge.adapters.openai_engine import _decode_object
from crankhinge.agent._fence_service import _parse_record
from crankhinge.config import BundleView, parse_bundle
from crankhinge.config._envelope import Envelope, decode_envelope, encode_envelope
from crankhinge.config._publish import HistoryRow, _decode_history
from crankhinge.decisions import RolloutRecord, StreamOrigin, decode_segment
from crankhinge.decisions._origin_journal import encode_segment
from crankhinge.decoding import decode_json, decode_toml
from crankhinge.entry._requests import parse_completion
from crankhinge.errors import (
    BadHttp,
    BundleError,
    KeyValueUnavailable,
    RequestError,
    Undecodable,
    WireError,
)
from crankhinge.gateway._peer_messages import PeerMessage, decode_message
from crankhinge.gateway._settings import GatewaySettings
from crankhinge.gateway._stream_origin_messages import StreamOriginMessage
from crankhinge.gateway.placement._messages import PlacementMessage
from crankhinge.http import HttpRequest, Response
from crankhinge.wire._codec import decode as decode_frame
from crankhinge.wire._messages import Message
from crankhinge_fuzz._samples import encode_json, make_samples
from crankhinge_fuzz._targets import (
    CallerRequests,
    Decoder,
    EventData,
    EventStream,
    ServerResponse,
    Target,
)
from crankhinge_platform import store
from crankhinge_platform.dialect import PlatformDialect
from crankhinge_platform.source import decode_config, decode_server
from crankhinge_platform.version_history import HistoryRecord
from crankhinge_standins import operator

ENTRY = {
    "service": "llm",
    "address": "127.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "sequence": 1,
    "phase": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "born": 1,
}
CONFIG = operator.config(
    3,
    [operator.route("r", "/a/", "streaming", "llm"), operator.route("s", "/b/", "safe", "plain")],
    [operator.service("llm", operator.engine_capacity(slots=8, kv_tokens=1000))],
    [{"name": "t", "api_keys": ["k"], "rate_per_s": 5.0, "burst": 2.0}],
)
BUNDLE = b"""version = 1
[[partners]]
name = "a"
[[pools]]
name = "read"
kind = "prefill"
[[pools]]
name = "write"
kind = "decode"
[[models]]
name = "m1"
prefill = ["read"]
decode = ["write"]
[[members]]
name = "m"
partner = "a"
credential_sha256 = "%s"
""" % (b"0" * 64)
# Largest size of the texts that operators write; the parser of TOML takes most of a second a MB.
MAX_TOML_BYTES = 16 * 1024
HEADER = {
    "x-request-id": "q",
    "x-deadline-ms": "1500",
    "x-token-count": "100,50",
    "length-hint": "40",
    "x-prompt-prefix": "5c1e07a2:800,91bd3f06:410",
    "x-not-executed": "1",
    "server-limit": "2.5",
    "server-leaving": "1",
    "retry-after": "3",
}


def _item(data: bytes) -> store.Item:
    return store.Item("servers/i-1", value=base64.b64encode(data).decode())


def _store_response(data: bytes, *, model: Any) -> object:
    return store._decode(Response(200, {}, data), model)


def _read_header(data: bytes) -> object:
    """Read the header fields of a caller and of a server, given as JSON."""
    try:
        headers = decode_json(data, dict[str, str])
    except Undecodable as exc:
        raise BadHttp(exc.detail) from exc
    PlatformDialect().parse_signals(503, headers)
    return PlatformDialect().parse_request(HttpRequest("GET", "/", headers, b""))


def _completion(data: bytes) -> object:
    view = BundleView(parse_bundle(BUNDLE.decode()))
    req = HttpRequest("POST", "/v1/completions", {}, data)
    return parse_completion(view, req, view.bundle.members[0])


def _json(name: str, module: str, model: Any, error: type[Exception] = Undecodable) -> Decoder:
    """Return the target that decodes JSON of one type."""
    samples = encode_json(*make_samples(model))
    return Decoder(name, (module,), samples, partial(decode_json, model=model), error)


def _dialect(name: str, parse: Callable[[bytes], object], *samples: bytes) -> Decoder:
    return Decoder(name, ("crankhinge_platform/dialect.py",), samples, parse, BadHttp)


def make_targets() -> list[Target]:
    """Return a new object for each reader."""
    datagrams = [
        msgspec.msgpack.encode(message)
        for union in (PeerMessage, PlacementMessage, StreamOriginMessage)
        for message in make_samples(union)
    ]
    frames = [msgspec.msgpack.encode(message) for message in make_samples(Message)]
    source, registry = "crankhinge_platform/source.py", "crankhinge_platform/registry.py"
    answers = [
        Decoder(
            f"store-{model.__name__.strip('_').lower()}",
            ("crankhinge_platform/store.py",),
            encode_json(*make_samples(model)),
            partial(_store_response, model=model),
            KeyValueUnavailable,
        )
        for model in (
            store.ItemResponse,
            store.RangeResponse,
            store.WatchResponse,
            store._LeaseResponse,
            store._WriteResponse,
        )
    ]
    settings_file = (
        b'name = "g"\nzone = "z"\nlisten = "127.0.0.1:1"\nready = "127.0.0.1:2"\n'
        b'source = "127.0.0.1:3"\n'
    )
    return [
        Decoder(
            "server",
            (source,),
            encode_json(ENTRY),
            lambda data: decode_server(_item(data)),
            KeyValueUnavailable,
        ),
        Decoder("config", (source,), encode_json(CONFIG), decode_config, KeyValueUnavailable),
        _json("record", registry, InstanceRecord),
        _json("fleet", registry, FleetEntry),
        _json("versions", "crankhinge_platform/version_history.py", HistoryRecord),
        *answers,
        _dialect("header", _read_header, *encode_json(HEADER)),
        _dialect("prompt", PlatformDialect().parse_kv_cache_handle, b'{"kv_handle":"h"}'),
        _dialect("reservation", PlatformDialect().parse_reservation_id, b'{"hold":"k"}'),
        _dialect(
            "report", PlatformDialect().parse_engine_state, b'{"phase":"decode","sequence":1}'
        ),
        _dialect(
            "copy",
            lambda data: PlatformDialect().parse_run_copy(200, data),
            b'{"kv_handle":"h","made":3}',
        ),
        Decoder(
            "datagram",
            ("crankhinge/gateway/_peer_messages.py",),
            datagrams,
            decode_message,
            Undecodable,
        ),
        Decoder(
            "origins",
            ("crankhinge/decisions/_origin_journal.py",),
            (encode_segment({3: StreamOrigin(1, "v1"), 1 << 63: StreamOrigin(1, "v2")}),),
            decode_segment,
            Undecodable,
        ),
        Decoder("frame", ("crankhinge/wire/_codec.py",), frames, decode_frame, WireError),
        Decoder(
            "envelope",
            ("crankhinge/config/_envelope.py",),
            (encode_envelope(Envelope(BUNDLE.decode(), {"a": "00"})),),
            decode_envelope,
            BundleError,
        ),
        Decoder(
            "bundle",
            ("crankhinge/config/_bundle.py",),
            (BUNDLE,),
            lambda data: parse_bundle(data.decode("latin-1")),
            BundleError,
            max_bytes=MAX_TOML_BYTES,
        ),
        Decoder(
            "settings",
            ("crankhinge/runtime/_process.py",),
            (settings_file,),
            lambda data: decode_toml(data.decode("latin-1"), GatewaySettings),
            Undecodable,
            max_bytes=MAX_TOML_BYTES,
        ),
        Decoder(
            "history",
            ("crankhinge/config/_publish.py",),
            encode_json([make_samples(HistoryRow)[0]]),
            lambda data: _decode_history(StoredValue(data, 1)),
            Undecodable,
        ),
        Decoder(
            "completion",
            ("crankhinge/entry/_requests.py",),
            (b'{"model":"m1","prompt":"x","max_tokens":5,"stream":true}',),
            _completion,
            RequestError,
        ),
        _json("rollout", "crankhinge/agent/_adapter_loader.py", RolloutRecord),
        Decoder(
            "fence",
            ("crankhinge/agent/_fence_service.py",),
            (b'[3,"a",4]',),
            lambda data: _parse_record(StoredValue(data, 1)),
            KeyValueUnavailable,
        ),
        Decoder(
            "engine",
            ("crankhinge/adapters/openai_engine.py",),
            (b'{"id":"c","choices":[]}',),
            _decode_object,
            EngineFailed,
        ),
        Decoder(
            "consul",
            ("crankhinge/adapters/consul.py",),
            (b'[{"Node":{"Address":"10.0.0.1"}}]',),
            lambda data: decode_consul(Response(200, {}, data)),
            KeyValueUnavailable,
        ),
        EventStream(),
        EventData(),
        ServerResponse(),
        CallerRequests(),
    ]
