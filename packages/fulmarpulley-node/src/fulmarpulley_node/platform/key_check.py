"""Check the keys of requests, and name their accounts to workers."""

from aiohttp import web
from multidict import CIMultiDictProxy

from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..observe.events import log_event
from ..rollout.directory import Directory
from ..rollout.key_gate import KeyDecision, KeyGate, KeyVerdict
from ..rollout.metrics import RolloutMetrics, labels
from .headers import caller_credentials, client_key, without_identity
from .responses import error_response, unavailable_response

_REFUSAL_TEXTS = {
    KeyVerdict.MAY_BE_OUTDATED: "the known keys may be outdated",
    KeyVerdict.REVOCATION_UNKNOWN: "the key may have been removed",
}


class KeyCheck:
    """Decide about the keys of requests, and report refusals."""

    def __init__(
        self, settings: RolloutSettings, directory: Directory, metrics: RolloutMetrics
    ) -> None:
        self.directory = directory
        self.metrics = metrics
        self.gate = KeyGate(settings, directory)

    def decide(
        self, request: web.BaseRequest, target: str, anonymous: bool
    ) -> KeyDecision:
        """Decide whether a request may be accepted now.

        :param target: route of the request, or the path of a call about steps
        """
        decision = self.gate.decide(client_key(request.headers), anonymous)
        if decision.verdict is not KeyVerdict.ACCEPTED:
            self._report(request, target, decision)
        return decision

    def _report(
        self, request: web.BaseRequest, target: str, decision: KeyDecision
    ) -> None:
        routes = self.directory.routes
        self.metrics.unauthorized.inc(
            labels(verdict=decision.verdict.value, reason=decision.reason)
        )
        log_event(
            "request_unauthorized",
            request=request.headers.get("Request-Id", ""),
            verdict=decision.verdict.value,
            reason=decision.reason,
            route=target,
            config=routes.topology.version if routes else 0,
            config_age_s=self.directory.config_age_s(),
        )


def key_refusal_response(decision: KeyDecision) -> web.Response:
    """Return the response to a request that was not accepted for its key."""
    if decision.verdict in _REFUSAL_TEXTS:
        return unavailable_response(_REFUSAL_TEXTS[decision.verdict])
    response = error_response(401, "the request has no valid key")
    response.headers["WWW-Authenticate"] = "Bearer"
    return response


def forwarded_headers(
    request: web.BaseRequest, decision: KeyDecision
) -> CIMultiDictProxy[str]:
    """Return the headers of a request that workers may see."""
    if not decision.has_accounts:
        return request.headers
    return CIMultiDictProxy(without_identity(request.headers))


def caller_of(request: web.BaseRequest, decision: KeyDecision) -> str:
    """Return what tells the caller's requests from the same ones of others."""
    account = decision.account_name
    return caller_credentials(request.headers) if account is None else account
