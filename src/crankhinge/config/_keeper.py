"""The bundle in force in one process."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from crankhinge.config._bundle import Bundle, Member, hash_credential
from crankhinge.config._envelope import verify_envelope
from crankhinge.errors import NotReady

TrustedKeys = Mapping[str, str]


@dataclass(frozen=True)
class FairShareWeights:
    """What a fair queue needs to know of a member."""

    partner: str
    member_weight: float
    partner_weight: float


class BundleView:
    """A bundle with its members indexed."""

    def __init__(self, bundle: Bundle) -> None:
        self.bundle = bundle
        self._by_credential_hash = {member.credential_sha256: member for member in bundle.members}
        self._by_name = {member.name: member for member in bundle.members}
        self._partner_weights = {partner.name: partner.weight for partner in bundle.partners}

    def find_member_by_credential(self, credential: str) -> Member | None:
        """Return the member with this bearer credential."""
        return self._by_credential_hash.get(hash_credential(credential))

    def fair_share_weights(self, member: str) -> FairShareWeights:
        """Return a member's place in the fair queues; an unknown one has weight 1."""
        known = self._by_name.get(member)
        if known is None:
            return FairShareWeights("", 1.0, 1.0)
        return FairShareWeights(known.partner, known.weight, self._partner_weights[known.partner])


class BundleKeeper:
    """Holds the newest bundle seen; a version never goes back.

    Args:
        keys: public key of each partner, hex.

    Attributes:
        view: the bundle in force, indexed; None before the first.
        envelope: as it was signed, for peers.
        listeners: called with each new bundle.
    """

    def __init__(self, keys: TrustedKeys) -> None:
        self._keys = keys
        self.view: BundleView | None = None
        self.envelope = b""
        self.listeners: list[Callable[[Bundle], None]] = []

    @property
    def version(self) -> int:
        """Version in force; 0 without one."""
        return self.view.bundle.version if self.view else 0

    def install_if_newer(self, envelope: bytes) -> bool:
        """Take the bundle in force if it is newer; returns whether it was.

        Raises:
            BundleError: when it is malformed or not signed by every partner.
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
        """Return a member's place in the fair queues."""
        return self.view.fair_share_weights(member) if self.view else FairShareWeights("", 1.0, 1.0)

    def require_view(self) -> BundleView:
        """Return the bundle in force.

        Raises:
            NotReady: when there is none yet.
        """
        if self.view is None:
            raise NotReady("no bundle in force", retry_after_s=1.0)
        return self.view
