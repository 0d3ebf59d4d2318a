"""Reads and writes Ed25519 key files with PyNaCl (libsodium).

A private key file contains one line of hex and has mode 0600. Public keys are stored in the
settings, in hex.
"""

from __future__ import annotations

import os
import stat
from pathlib import Path

from nacl.exceptions import CryptoError
from nacl.signing import SigningKey

from crankhinge.errors import KeyFileError

PRIVATE_KEY_MODE = 0o600


def create_key_pair(path: Path) -> str:
    """Write a new private key to *path* and return the public key in hex.

    Raises:
        KeyFileError: the file exists already or cannot be written.
    """
    key = SigningKey.generate()
    try:
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, PRIVATE_KEY_MODE)
    except OSError as exc:
        raise KeyFileError(f"{path}: {exc.strerror}") from exc
    with os.fdopen(fd, "w", encoding="ascii") as file:
        file.write(key.encode().hex() + "\n")
    return key.verify_key.encode().hex()


def load_private_key(path: Path) -> SigningKey:
    """Read a private key from a file.

    Raises:
        KeyFileError: the file is missing, malformed or accessible to other users. The message
            never contains the key.
    """
    try:
        mode = stat.S_IMODE(path.stat().st_mode)
        text = path.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise KeyFileError(f"{path}: cannot be read") from exc
    if mode & 0o077:
        raise KeyFileError(f"{path}: file mode is {mode:04o}, must be 0600")
    try:
        return SigningKey(bytes.fromhex(text))
    except (ValueError, CryptoError) as exc:
        raise KeyFileError(f"{path}: does not contain a private key") from exc
