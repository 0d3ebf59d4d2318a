"""Tells who asks, and whether what is known of keys may still be relied on."""

from __future__ import annotations

from crankhinge.adapters import RelayRequest
from crankhinge.decisions import Account, Route, RouteTable
from crankhinge.errors import BadCredentials, ConfigTooOld
from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._request import Relay

# When a caller should come back that was refused for what this instance does not know, in seconds:
# a new connection finds another instance, since this one calls itself not ready.
OTHER_INSTANCE_RETRY_S = 0.1


class Authenticator:
    """Identifies callers by their keys.

    A key may have been taken away without this instance hearing of it. So keys are believed only
    while the configuration was proved current a short time ago; the age counts from when the call
    that proved it was sent, since its answer may have been under way for any time.

    Args:
        discovery: the configuration and its age.
    """

    def __init__(self, discovery: Discovery) -> None:
        self._directory = discovery

    def identify(
        self, table: RouteTable, route: Route, request: RelayRequest, now: float
    ) -> Account | None:
        """Return who asks; None where that needs no key.

        Raises:
            BadCredentials: no account holds the key.
            ConfigTooOld: nobody can tell whether one still does.
        """
        if table.accounts is None:
            return None
        account = table.accounts.by_key.get(request.api_key) if request.api_key else None
        if account is None and route.anonymous:
            return None
        if not self._directory.may_use_keys(now):
            age_s = self._directory.keys_age_s(now)
            raise ConfigTooOld(
                f"keys were current {age_s:.2f} s ago", retry_after_s=OTHER_INSTANCE_RETRY_S
            )
        if account is None:
            raise BadCredentials("no account holds the key")
        return account

    def recheck(self, relay: Relay, now: float) -> None:
        """Look again at a request that may have waited. Raises as :meth:`identify` does."""
        table = self._directory.table
        if relay.account is not None and table is not None:
            self.identify(table, relay.route, relay.request, now)
