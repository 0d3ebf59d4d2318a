"""The active bundle of one process."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from crankhinge.config._bundle import Bundle, Member, hash_credential
from crankhinge.config._envelope import verify_envelope
from crankhinge.errors import NotReady

TrustedKeys = Mapping[str, str]


@dataclass(frozen=True)
class FairShareWeights:
    """The weights that determine the share of a client account in the fair queues.

    An unknown account, and any account while there is no bundle, has weights of 1.

    Attributes:
        partner: name of the account's partner; empty for an unknown account.
        member_weight: weight of the account among the accounts of its partner.
        partner_weight: weight of the partner among all partners.
    """

    partner: str
    member_weight: float
    partner_weight: float


class BundleView:
    """A bundle with indexes to look up its client accounts by credential and by name."""

    def __init__(self, bundle: Bundle) -> None:
        self.bundle = bundle
        self._by_credential_hash = {member.credential_sha256: member for member in bundle.members}
        self._by_name = {member.name: member for member in bundle.members}
        self._partner_weights = {partner.name: partner.weight for partner in bundle.partners}

    def find_member_by_credential(self, credential: str) -> Member | None:
        """Return the client account with this bearer credential, or None."""
        return self._by_credential_hash.get(hash_credential(credential))

    def fair_share_weights(self, member: str) -> FairShareWeights:
        """Return the fair-queue weights of the client account *member*."""
        known = self._by_name.get(member)
        if known is None:
            return FairShareWeights("", 1.0, 1.0)
        return FairShareWeights(known.partner, known.weight, self._partner_weights[known.partner])


class BundleKeeper:
    """Holds the active bundle of a process: the newest one that the process has received.

    A bundle with a lower version never replaces one with a higher version.

    Args:
        keys: public key of each partner, in hex.

    Attributes:
        view: the active bundle with its indexes; None before the first bundle.
        envelope: the encoded envelope of the active bundle, to send to peers; empty before the
            first bundle.
        listeners: functions that are called with each bundle that becomes active.
    """

    def __init__(self, keys: TrustedKeys) -> None:
        self._keys = keys
        self.view: BundleView | None = None
        self.envelope = b""
        self.listeners: list[Callable[[Bundle], None]] = []

    @property
    def version(self) -> int:
        """Version of the active bundle; 0 before the first bundle."""
        return self.view.bundle.version if self.view else 0

    def install_if_newer(self, envelope: bytes) -> bool:
        """Make the bundle active if it is newer than the current one, and return whether it was.

        Raises:
            BundleError: the bundle is malformed or not signed by every partner.
        """
        if envelope == self.envelope:
            return False
        bundle = verify_envelope(envelope, self._keys)
        if bundle.version <= self.version:
            return False
        self.view = BundleView(bundle)
        self.envelope = envelope
        for listener in self.listeners:
            listener(bundle)
        return True

    def fair_share_weights(self, member: str) -> FairShareWeights:
        """Return the fair-queue weights of the client account *member* in the active bundle."""
        return self.view.fair_share_weights(member) if self.view else FairShareWeights("", 1.0, 1.0)

    def require_view(self) -> BundleView:
        """Return the active bundle with its indexes.

        Raises:
            NotReady: the process has not received a bundle yet.
        """
        if self.view is None:
            raise NotReady("this process has no bundle yet", retry_after_s=1.0)
        return self.view
