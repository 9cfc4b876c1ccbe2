import unittest

from fulmarpulley_core.ids import AccountName
from fulmarpulley_core.rollout.accounts import (
    Account,
    AccountTable,
    ListedAccount,
    digest_of,
)


def listed(name: str, *keys: str, priority: int | None = None) -> ListedAccount:
    account = Account(AccountName(name), priority)
    return ListedAccount(account, tuple(digest_of(key) for key in keys))


class AccountTableTest(unittest.TestCase):
    def test_find_returns_the_account_of_each_of_its_keys_only(self) -> None:
        # Guards against requests that are served for an unknown key.
        table = AccountTable([listed("a", "k1", "k2"), listed("b", "k3")])
        found = {key: table.find(key) for key in ("k1", "k2", "k3")}
        names = {key: account and account.name for key, account in found.items()}
        self.assertEqual(names, {"k1": "a", "k2": "a", "k3": "b"})
        for key in ("", "K1", "k1 ", "k", "kü1", "k1\udcff", "a"):
            self.assertIsNone(table.find(key), key)

    def test_entries_of_one_account_are_joined(self) -> None:
        # Guards against a second entry that ends the keys of the first.
        table = AccountTable(
            [listed("a", "k1"), listed("a", "k1", "k2", priority=0), listed("a")]
        )
        self.assertEqual(table.find("k1"), Account(AccountName("a"), 0))
        self.assertEqual(table.find("k1"), table.find("k2"))
        self.assertEqual(table.shared, ())

    def test_key_of_two_accounts_identifies_neither(self) -> None:
        # Guards against requests that are billed to the wrong account.
        table = AccountTable([listed("a", "k", "k1"), listed("b", "k")])
        self.assertIsNone(table.find("k"))
        self.assertIsNotNone(table.find("k1"))
        self.assertEqual(table.shared, (("a", "b"),))
