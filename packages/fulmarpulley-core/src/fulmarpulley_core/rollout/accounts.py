"""Find the client account of an API key."""

import hashlib
from collections.abc import Iterable, Mapping
from types import MappingProxyType

import msgspec

from ..ids import AccountName, KeyDigest

DIGEST_BYTES = 16


class Account(msgspec.Struct, frozen=True):
    """Describe a client account.

    :param priority: precedes that of a route; 0 is the most urgent
    """

    name: AccountName
    priority: int | None = None


class ListedAccount(msgspec.Struct, frozen=True):
    """Hold an account with the digests of its keys, as a configuration lists it."""

    account: Account
    digests: tuple[KeyDigest, ...]


class AccountTable:
    """Find accounts by key; hold digests of the keys only.

    `shared` has the names of the accounts that list the same key, which therefore
    identifies none of them.
    """

    def __init__(self, listed: Iterable[ListedAccount]) -> None:
        """Join the entries of each account; the first stated priority counts."""
        accounts: dict[AccountName, Account] = {}
        holders: dict[KeyDigest, dict[AccountName, None]] = {}
        for entry in listed:
            name = entry.account.name
            known = accounts.get(name)
            if known is None or known.priority is None:
                accounts[name] = entry.account
            for digest in entry.digests:
                holders.setdefault(digest, {})[name] = None
        self.accounts: Mapping[AccountName, Account] = MappingProxyType(accounts)
        self.shared = tuple(
            dict.fromkeys(tuple(names) for names in holders.values() if len(names) > 1)
        )
        self._accounts_by_digest = {
            digest: accounts[next(iter(names))]
            for digest, names in holders.items()
            if len(names) == 1
        }

    def find(self, key: str) -> Account | None:
        """Return the account that a key identifies."""
        if not is_usable_key(key):
            return None
        return self._accounts_by_digest.get(digest_of(key))


def is_usable_key(key: str) -> bool:
    """Tell whether requests can carry a key: printable ASCII, with no outer blanks."""
    return key.isascii() and key.isprintable() and bool(key) and key == key.strip()


def is_usable_name(name: str) -> bool:
    """Tell whether a header can carry the name of an account unchanged."""
    return name.isprintable() and bool(name) and name == name.strip()


def digest_of(key: str) -> KeyDigest:
    """Return the digest of a usable key.

    The time of the look-up tells nothing about the keys of others, since a
    cryptographic hash gives unrelated digests for similar keys.
    """
    data = key.encode("ascii")
    return KeyDigest(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest())
