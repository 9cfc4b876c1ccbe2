"""Decide whether the request of a client may be accepted, by its key."""

from enum import StrEnum

import msgspec
from result import Err, Result

from fulmarpulley_core.ids import AccountName
from fulmarpulley_core.rollout.accounts import Account
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from .directory import MAX_CONFIG_AGE_S, Directory

# Covers the time from the check until the request counts as accepted.
REVOCATION_MARGIN_S = 0.1
# Share of the revocation time after which the node reports not ready. The balancer
# moves new connections within the remaining time.
READY_SHARE = 0.6


class KeyFault(StrEnum):
    """Name why a request carries no key that can be valid."""

    MISSING = "missing"
    OTHER_SCHEME = "other_scheme"
    SEVERAL_FIELDS = "several_fields"
    UNREADABLE = "unreadable"


# With another configuration, the route of such a request may need no key.
_ABSENT = frozenset({KeyFault.MISSING, KeyFault.OTHER_SCHEME})


class KeyVerdict(StrEnum):
    """Name the decisions about a key."""

    ACCEPTED = "accepted"
    UNKNOWN_KEY = "unknown_key"
    MAY_BE_OUTDATED = "may_be_outdated"
    REVOCATION_UNKNOWN = "revocation_unknown"


class KeyDecision(msgspec.Struct, frozen=True):
    """Hold a decision; an accepted request without a key has no account.

    :param has_accounts: whether the deployment has client accounts
    :param fault: why the request carries no key
    """

    verdict: KeyVerdict
    has_accounts: bool = True
    account: Account | None = None
    fault: KeyFault | None = None

    @property
    def account_name(self) -> AccountName | None:
        """Return the account, empty for an anonymous client; None without accounts."""
        if not self.has_accounts:
            return None
        return AccountName("") if self.account is None else self.account.name

    @property
    def reason(self) -> str:
        """Return why the request is refused."""
        return self.fault.value if self.fault else self.verdict.value


class KeyGate:
    """Decide by the accounts in force and by the age of the configuration."""

    def __init__(self, settings: RolloutSettings, directory: Directory) -> None:
        self.directory = directory
        revoke_ms = settings.bounds.revoke_ms
        self.revoke_s = None if revoke_ms is None else revoke_ms / 1000

    @property
    def ready(self) -> bool:
        """Tell whether the node will be able to accept keys for a while."""
        if self.revoke_s is None or not self._has_accounts():
            return True
        return self.directory.config_age_s() < READY_SHARE * self.revoke_s

    def decide(self, key: Result[str, KeyFault], anonymous: bool) -> KeyDecision:
        """Decide about a request whose routes are known.

        :param key: the key of the request, or why it has none
        :param anonymous: whether the request needs no key
        """
        routes = self.directory.routes
        if routes is None:
            return KeyDecision(KeyVerdict.MAY_BE_OUTDATED)
        accounts = routes.topology.accounts
        if accounts is None:
            return KeyDecision(KeyVerdict.ACCEPTED, has_accounts=False)
        if isinstance(key, Err):
            return self._decide_without_key(key.err_value, anonymous)
        account = accounts.find(key.ok_value)
        if account is None:
            return self._decide_unknown(anonymous)
        if self._may_be_revoked():
            return KeyDecision(KeyVerdict.REVOCATION_UNKNOWN)
        return KeyDecision(KeyVerdict.ACCEPTED, account=account)

    def _decide_without_key(self, fault: KeyFault, anonymous: bool) -> KeyDecision:
        verdict = KeyVerdict.UNKNOWN_KEY
        if anonymous:
            verdict = KeyVerdict.ACCEPTED
        elif fault in _ABSENT and self._may_be_outdated():
            verdict = KeyVerdict.MAY_BE_OUTDATED
        return KeyDecision(verdict, fault=fault)

    def _decide_unknown(self, anonymous: bool) -> KeyDecision:
        verdict = KeyVerdict.UNKNOWN_KEY
        # The key may be new. Where the route needs none, its account must be named.
        if self._may_be_outdated():
            verdict = KeyVerdict.MAY_BE_OUTDATED
        elif anonymous:
            verdict = KeyVerdict.ACCEPTED
        return KeyDecision(verdict)

    def _may_be_outdated(self) -> bool:
        return self.directory.config_age_s() > MAX_CONFIG_AGE_S

    def _may_be_revoked(self) -> bool:
        if self.revoke_s is None:
            return False
        longest_s = self.revoke_s - REVOCATION_MARGIN_S
        return self.directory.config_age_s() >= longest_s

    def _has_accounts(self) -> bool:
        routes = self.directory.routes
        return routes is not None and routes.topology.accounts is not None
