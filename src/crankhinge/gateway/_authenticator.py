"""Identifies callers, and checks that what this instance knows about keys is recent enough."""

from __future__ import annotations

from crankhinge.adapters import RelayRequest
from crankhinge.decisions import Account, Route, RouteTable
from crankhinge.errors import BadCredentials, ConfigTooOld
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._request import Relay

# Seconds after which a caller should retry if this instance cannot check its key. A new connection
# reaches another instance, since this one reports that it is not ready.
OTHER_INSTANCE_RETRY_S = 0.1


class Authenticator:
    """Identifies callers by their keys.

    A key may have been revoked although this instance has not received that change yet. Therefore
    keys are accepted only if the configuration was known to be current a short time ago. That time
    counts from when the call to the store was sent whose response showed that the configuration is
    current, since it is unknown how long the response took to arrive.

    Args:
        discovery: the configuration and its age.
    """

    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery

    def identify(
        self, config: RouteTable, route: Route, request: RelayRequest, now: float
    ) -> Account | None:
        """Return the account of the caller; None if the request needs no key.

        Raises:
            BadCredentials: no account has the key.
            ConfigTooOld: this instance cannot tell whether an account still has the key.
        """
        if config.accounts is None:
            return None
        account = config.accounts.by_key.get(request.api_key) if request.api_key else None
        if account is None and route.anonymous:
            return None
        if not self._discovery.may_use_keys(now):
            age_s = self._discovery.keys_age_s(now)
            raise ConfigTooOld(
                f"keys were last known to be current {age_s:.2f} s ago",
                retry_after_s=OTHER_INSTANCE_RETRY_S,
            )
        if account is None:
            raise BadCredentials("no account has this key")
        return account

    def recheck(self, relay: Relay, now: float) -> None:
        """Check again that the caller's key is valid, since the request may have waited.

        Raises:
            BadCredentials, ConfigTooOld: as raised by :meth:`identify`.
        """
        config = self._discovery.config
        if relay.account is not None and config is not None:
            self.identify(config, relay.route, relay.request, now)
