"""What an entry and an agent do alike: links, heartbeats, and the spread of bundles."""

from crankhinge.peers._beats import Beater
from crankhinge.peers._roster import Roster
from crankhinge.peers._settings import Endpoint, PeerSettings, parse_endpoint
from crankhinge.peers._spread import BundleSpread

__all__ = ["Beater", "BundleSpread", "Endpoint", "PeerSettings", "Roster", "parse_endpoint"]
