"""What an entry and an agent do alike: links, heartbeats, and the spread of bundles."""

from crankhinge.peers._heartbeats import HeartbeatSender
from crankhinge.peers._instance_list import InstanceListCache
from crankhinge.peers._propagation import BundlePropagator
from crankhinge.peers._settings import Endpoint, PeerSettings, parse_endpoint

__all__ = [
    "BundlePropagator",
    "Endpoint",
    "HeartbeatSender",
    "InstanceListCache",
    "PeerSettings",
    "parse_endpoint",
]
