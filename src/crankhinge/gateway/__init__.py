"""The gateway: a router that relays requests unchanged to backend servers.

The gateway serves callers that speak the backend servers' own protocol; ``crankhinge.entry``
serves callers that speak the completions API.
"""

from crankhinge.gateway._program import Platform, run, serve
from crankhinge.gateway._settings import GatewaySettings

__all__ = ["GatewaySettings", "Platform", "run", "serve"]
