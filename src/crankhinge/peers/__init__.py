"""What entries and agents share: settings, heartbeats, the instance list and bundle propagation."""

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
