"""Tests of bundles: validation, signatures and publication."""

from pathlib import Path

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crankhinge.adapters import KeyValueStore, StoredValue
from crankhinge.config import (
    BUNDLE_KEY,
    BundleKeeper,
    Envelope,
    create_key_pair,
    encode_envelope,
    load_private_key,
    parse_bundle,
    publish,
    read_history,
    sign_envelope,
    verify_envelope,
)
from crankhinge.errors import BundleError, KeyFileError, KeyValueUnavailable, PublishConflict

BUNDLE_TEMPLATE = """
version = {version}
[[partners]]
name = "timbook"
[[partners]]
name = "heating-oil"
[[pools]]
name = "read"
kind = "prefill"
[[pools]]
name = "write"
kind = "decode"
[[models]]
name = "m1"
prefill = ["read"]
decode = ["write"]
"""


class Signers:
    """The key pairs of both partners."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.keys = {
            name: create_key_pair(path / f"{name}.key") for name in ("timbook", "heating-oil")
        }

    def envelope(self, version: int, extra: str = "", *, skip: str = "") -> bytes:
        """Return an encoded bundle with the signatures of all partners except *skip*."""
        envelope = Envelope(BUNDLE_TEMPLATE.format(version=version) + extra)
        for name in self.keys:
            if name != skip:
                envelope = sign_envelope(
                    envelope, name, load_private_key(self.path / f"{name}.key")
                )
        return encode_envelope(envelope)


@pytest.fixture
def signers(tmp_path: Path) -> Signers:
    """Return new key pairs of both partners."""
    return Signers(tmp_path)


class MemoryKeyValue(KeyValueStore):
    """A key-value service in memory that can lose its responses and be unavailable."""

    def __init__(self) -> None:
        self.values: dict[str, StoredValue] = {}
        self.lose_responses = False
        self.unavailable = False
        self.competing_writes: list[bytes] = []

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key."""
        if self.unavailable:
            raise KeyValueUnavailable("unavailable")
        return self.values.get(key)

    async def watch(self, key: str, index: int, wait_s: float) -> StoredValue | None:
        """Return the value of a key without waiting for a change."""
        return await self.get(key)

    async def compare_and_swap(self, key: str, data: bytes, index: int) -> bool:
        """Compare and swap, after a competing write if the test has set one."""
        if self.unavailable:
            raise KeyValueUnavailable("unavailable")
        if key == BUNDLE_KEY and self.competing_writes:
            self.write(key, self.competing_writes.pop())
        current = self.values.get(key)
        if (current.index if current else 0) != index:
            return False
        self.write(key, data)
        if self.lose_responses:
            raise KeyValueUnavailable("response lost")
        return True

    def write(self, key: str, data: bytes) -> None:
        """Write a value and increase the index of its key."""
        index = self.values[key].index if key in self.values else 0
        self.values[key] = StoredValue(data, index + 1)


class TestBundleValidation:
    """Validation of the text of a bundle."""

    @pytest.mark.parametrize(
        ("extra", "reason"),
        [
            ("\nsurprise = 1\n", "unknown field"),
            ('\n[[pools]]\nname = "read"\nkind = "plain"\n', "is defined more than once"),
            ('\n[[models]]\nname = "m2"\nprefill = ["write"]\ndecode = ["write"]\n', "not prefill"),
            ('\n[[models]]\nname = "m2"\nprefill = ["x"]\ndecode = ["write"]\n', "no pool 'x'"),
            ('\n[[services]]\nname = "s"\npath = "/s"\npool = "none"\n', "no pool"),
            ("\n[policy]\nwaste_weight = 2.0\n", "waste_weight"),
            ("\n[[", "not TOML"),
            ("\na = " + "[" * 2000 + "]" * 2000, "not TOML"),
            ("\na = " + "9" * 5000, "not TOML"),
        ],
    )
    def test_invalid_bundle_is_rejected_with_a_reason(self, extra: str, reason: str) -> None:
        """The error contains the reason, so that an operator can correct the bundle."""
        with pytest.raises(BundleError, match=reason):
            parse_bundle(BUNDLE_TEMPLATE.format(version=1) + extra)

    @given(st.binary(max_size=200))
    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    def test_random_bytes_raise_a_bundle_error(self, data: bytes) -> None:
        """Data that is not an envelope must not raise an error of the decoder."""
        with pytest.raises(BundleError):
            verify_envelope(data, {"timbook": "0" * 64})


class TestSignatures:
    """A bundle is valid only if every partner has signed it."""

    def test_bundle_signed_by_all_partners_is_accepted(self, signers: Signers) -> None:
        """The signed bundle is parsed after its signatures have been verified."""
        assert verify_envelope(signers.envelope(3), signers.keys).version == 3

    def test_missing_signature_is_rejected(self, signers: Signers) -> None:
        """One partner must not be able to change the configuration without the other."""
        with pytest.raises(BundleError, match="not signed by timbook"):
            verify_envelope(signers.envelope(3, skip="timbook"), signers.keys)

    def test_text_changed_after_signing_is_rejected(self, signers: Signers) -> None:
        """Signatures cover the text, so they do not match a text that was changed."""
        changed = signers.envelope(3).replace(b"version = 3", b"version = 4")
        with pytest.raises(BundleError, match="is invalid"):
            verify_envelope(changed, signers.keys)

    def test_private_key_file_is_accessible_only_to_its_owner(self, signers: Signers) -> None:
        """A key file is created with mode 0600, and one that others can read is rejected."""
        path = signers.path / "timbook.key"
        assert path.stat().st_mode & 0o777 == 0o600
        path.chmod(0o644)
        with pytest.raises(KeyFileError, match="must be 0600"):
            load_private_key(path)


class TestBundleKeeper:
    """How a process replaces its active bundle."""

    def test_version_in_force_never_decreases(self, signers: Signers) -> None:
        """A bundle with an older version, or with the same, does not become active."""
        keeper = BundleKeeper(signers.keys)
        assert keeper.install_if_newer(signers.envelope(5))
        assert not keeper.install_if_newer(signers.envelope(4))
        assert not keeper.install_if_newer(signers.envelope(5, "\n[policy]\npatience = 3.0\n"))
        assert keeper.version == 5

    def test_bundle_without_all_signatures_changes_nothing(self, signers: Signers) -> None:
        """The bundle is newer, but is rejected, and the old one stays active."""
        keeper = BundleKeeper(signers.keys)
        keeper.install_if_newer(signers.envelope(5))
        with pytest.raises(BundleError):
            keeper.install_if_newer(signers.envelope(6, skip="heating-oil"))
        assert keeper.version == 5


class TestPublish:
    """Publication of a bundle in the key-value service by compare-and-swap."""

    def test_versions_must_be_consecutive(self, signers: Signers) -> None:
        """The first version is 1, and each later one is the published version plus one."""
        kv = MemoryKeyValue()
        assert curio.run(publish, kv, signers.envelope(1), signers.keys).version == 1
        with pytest.raises(BundleError, match="does not directly follow"):
            curio.run(publish, kv, signers.envelope(3), signers.keys)

    def test_one_of_two_concurrent_publications_fails(self, signers: Signers) -> None:
        """The operator whose swap comes second gets an error, and nothing is overwritten."""
        kv = MemoryKeyValue()
        competing = signers.envelope(1, "\n[policy]\npatience = 2.0\n")
        kv.competing_writes = [competing]
        with pytest.raises(PublishConflict):
            curio.run(publish, kv, signers.envelope(1), signers.keys)
        assert kv.values[BUNDLE_KEY].data == competing

    def test_success_is_confirmed_after_a_lost_response(self, signers: Signers) -> None:
        """The swap took effect although its response was lost; a read shows that it did."""
        kv = MemoryKeyValue()
        kv.lose_responses = True
        result = curio.run(publish, kv, signers.envelope(1), signers.keys)
        assert result.confirmed_by_read

    def test_publishing_the_same_bundle_again_succeeds(self, signers: Signers) -> None:
        """The second publication of a file writes nothing and adds no history row."""
        kv = MemoryKeyValue()
        curio.run(publish, kv, signers.envelope(1), signers.keys)
        assert curio.run(publish, kv, signers.envelope(1), signers.keys).confirmed_by_read
        assert [row.version for row in curio.run(read_history, kv)] == [1]

    def test_outage_raises_key_value_unavailable(self, signers: Signers) -> None:
        """The error says that the outcome is unknown, because the write may have taken effect."""
        kv = MemoryKeyValue()
        kv.unavailable = True
        with pytest.raises(KeyValueUnavailable):
            curio.run(publish, kv, signers.envelope(1), signers.keys)
