"""The gateway: relays requests as they are to the backend servers that run them.

It serves callers that speak the backend servers' own protocol; ``crankhinge.entry`` serves those
that speak the completions API.
"""

from crankhinge.gateway._program import Platform, run, serve
from crankhinge.gateway._settings import GatewaySettings

__all__ = ["GatewaySettings", "Platform", "run", "serve"]
