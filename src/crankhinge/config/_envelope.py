"""The signed form of a bundle: its text together with the partners' signatures."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from nacl.exceptions import BadSignatureError, CryptoError
from nacl.signing import SigningKey, VerifyKey

from crankhinge.config._bundle import Bundle, parse_bundle
from crankhinge.decoding import decode_json
from crankhinge.errors import BundleError, Undecodable

MAX_ENVELOPE_BYTES = 1_000_000
_SIGNATURE_CONTEXT = b"crankhinge bundle 1\n"


class Envelope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A bundle as it is stored in the key-value service and sent to peers.

    Attributes:
        text: TOML text of the bundle.
        signatures: Ed25519 signature of each partner over the text, in hex, by partner name.
    """

    text: str
    signatures: dict[str, str] = {}


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope as JSON."""
    return msgspec.json.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decode an envelope without verifying its signatures.

    Raises:
        BundleError: the data is malformed or larger than ``MAX_ENVELOPE_BYTES``.
    """
    if len(data) > MAX_ENVELOPE_BYTES:
        raise BundleError(f"envelope has {len(data)} bytes; the maximum is {MAX_ENVELOPE_BYTES}")
    try:
        return decode_json(data, Envelope)
    except Undecodable as exc:
        raise BundleError(f"not a bundle envelope: {exc.detail}") from exc


def sign_envelope(envelope: Envelope, partner: str, key: SigningKey) -> Envelope:
    """Return a copy of the envelope with the signature of *partner* added."""
    signature = key.sign(_SIGNATURE_CONTEXT + envelope.text.encode()).signature.hex()
    return Envelope(envelope.text, {**envelope.signatures, partner: signature})


def verify_envelope(data: bytes, keys: Mapping[str, str]) -> Bundle:
    """Verify the signature of every partner and return the bundle.

    Args:
        data: the encoded envelope.
        keys: public key of each partner, in hex. All of these partners must have signed. The keys
            come from the settings of the process, never from the bundle, which would otherwise
            decide for itself whose signatures count.

    Raises:
        BundleError: the envelope is malformed, or a signature is missing or invalid.
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
        raise BundleError(f"signature of {partner} is invalid") from exc
