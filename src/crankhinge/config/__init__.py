"""The configuration bundle: its model, its signatures, and how it is accepted and spread."""

from crankhinge.config._bundle import (
    Adapter,
    Bundle,
    Member,
    Model,
    Partner,
    Policy,
    Pool,
    Service,
    Transfer,
    fence_range,
    hash_credential,
    parse_bundle,
)
from crankhinge.config._envelope import Envelope, open_envelope, read_envelope, seal, sign
from crankhinge.config._keeper import BundleKeeper, BundleView, TrustedKeys, Weights
from crankhinge.config._keys import load_private_key, new_key_pair
from crankhinge.config._publish import (
    BUNDLE_KEY,
    PublishResult,
    publish,
    read_current,
    read_history,
)

__all__ = [
    "BUNDLE_KEY",
    "Adapter",
    "Bundle",
    "BundleKeeper",
    "BundleView",
    "Envelope",
    "Member",
    "Model",
    "Partner",
    "Policy",
    "Pool",
    "PublishResult",
    "Service",
    "Transfer",
    "TrustedKeys",
    "Weights",
    "fence_range",
    "hash_credential",
    "load_private_key",
    "new_key_pair",
    "open_envelope",
    "parse_bundle",
    "publish",
    "read_current",
    "read_envelope",
    "read_history",
    "seal",
    "sign",
]
