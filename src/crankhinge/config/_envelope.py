"""A bundle's text with the partners' signatures."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from nacl.exceptions import BadSignatureError, CryptoError
from nacl.signing import SigningKey, VerifyKey

from crankhinge.config._bundle import Bundle, parse_bundle
from crankhinge.errors import BundleError

MAX_ENVELOPE_BYTES = 1_000_000
_SIGNATURE_CONTEXT = b"crankhinge bundle 1\n"


class Envelope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is kept in the key-value service.

    Attributes:
        text: the bundle, TOML.
        signatures: hex of each partner's Ed25519 signature over the text.
    """

    text: str
    signatures: dict[str, str] = {}


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the envelope as JSON."""
    return msgspec.json.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope, its signatures unchecked.

    Raises:
        BundleError: when it is malformed or too large.
    """
    if len(data) > MAX_ENVELOPE_BYTES:
        raise BundleError(f"envelope of {len(data)} bytes, at most {MAX_ENVELOPE_BYTES}")
    try:
        return msgspec.json.decode(data, type=Envelope)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BundleError(f"not an envelope: {exc}") from exc


def sign_envelope(envelope: Envelope, partner: str, key: SigningKey) -> Envelope:
    """Return the envelope with *partner*'s signature added."""
    signature = key.sign(_SIGNATURE_CONTEXT + envelope.text.encode()).signature.hex()
    return Envelope(envelope.text, {**envelope.signatures, partner: signature})


def verify_envelope(data: bytes, keys: Mapping[str, str]) -> Bundle:
    """Check every partner's signature and return the bundle.

    Args:
        data: the envelope.
        keys: public key of each partner, hex. All of them must have signed: whom to trust is in
            a process's settings, never in the bundle itself.

    Raises:
        BundleError: when it is malformed or a signature is missing or wrong.
    """
    envelope = decode_envelope(data)
    message = _SIGNATURE_CONTEXT + envelope.text.encode()
    for partner, key in keys.items():
        _check_signature(partner, key, message, envelope.signatures.get(partner))
    return parse_bundle(envelope.text)


def _check_signature(partner: str, key: str, message: bytes, signature: str | None) -> None:
    if signature is None:
        raise BundleError(f"not signed by {partner}")
    try:
        VerifyKey(bytes.fromhex(key)).verify(message, bytes.fromhex(signature))
    except (BadSignatureError, CryptoError, ValueError) as exc:
        raise BundleError(f"signature of {partner} is wrong") from exc
