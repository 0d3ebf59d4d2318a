"""The configuration bundle: its model, signatures, publication, and the active one of a process."""

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
    fence_range_id,
    hash_credential,
    parse_bundle,
)
from crankhinge.config._envelope import (
    Envelope,
    decode_envelope,
    encode_envelope,
    sign_envelope,
    verify_envelope,
)
from crankhinge.config._keeper import BundleKeeper, BundleView, FairShareWeights, TrustedKeys
from crankhinge.config._keys import create_key_pair, load_private_key
from crankhinge.config._publish import (
    BUNDLE_KEY,
    PublishResult,
    publish,
    read_current_envelope,
    read_history,
)

__all__ = [
    "BUNDLE_KEY",
    "Adapter",
    "Bundle",
    "BundleKeeper",
    "BundleView",
    "Envelope",
    "FairShareWeights",
    "Member",
    "Model",
    "Partner",
    "Policy",
    "Pool",
    "PublishResult",
    "Service",
    "Transfer",
    "TrustedKeys",
    "create_key_pair",
    "decode_envelope",
    "encode_envelope",
    "fence_range_id",
    "hash_credential",
    "load_private_key",
    "parse_bundle",
    "publish",
    "read_current_envelope",
    "read_history",
    "sign_envelope",
    "verify_envelope",
]
