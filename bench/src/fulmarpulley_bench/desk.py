"""Model the clients of a desk."""

import math

import msgspec

from fulmarpulley_core.ids import ModelName, PrefixId, Region, TenantId, WorkId
from fulmarpulley_core.pool.messages import Refuse, Work, WorkKind
from fulmarpulley_schema.generated.http import Span

from .deployments import Deployment
from .random_lengths import RandomStream
from .service import REQUEST_BYTES, TOKEN_EVENT_BYTES, Service


class OpenRequest(msgspec.Struct):
    """Hold a request that has not ended."""

    started: float
    region: str
    deadline: float


class DeskClients:
    """Send requests at a rate that follows a sine, and record their results."""

    def __init__(
        self, service: Service, deployment: Deployment, seed: int, duration_s: float
    ) -> None:
        self.service = service
        self.clock = service.clock
        self.deployment = deployment
        self.plan = deployment.desk_plan
        self.duration_s = duration_s
        self.rng = RandomStream("desk", deployment.name, seed)
        self.open_requests: dict[WorkId, OpenRequest] = {}
        self.latencies: list[float] = []
        self.refusals: dict[str, int] = {}
        self.sent = 0
        self.work_tokens = 0.0
        service.result_handler = self
        self._schedule_arrival()

    @property
    def done(self) -> bool:
        """Return whether all requests have been sent and have ended."""
        return self.clock.now > self.duration_s and not self.open_requests

    def finished(self, work: Work, tokens: int, spans: list[Span]) -> None:
        """Record the latency of an answered request."""
        request = self.open_requests.pop(work.work_id, None)
        if request is None:
            return
        home = self.service.home_region
        network = self.service.network
        network.count_bytes(home, request.region, tokens * TOKEN_EVENT_BYTES)
        return_latency = (
            network.latency(home, request.region) + self.plan.client_latency_s
        )
        self.latencies.append(self.clock.now - request.started + return_latency)

    def refused(self, work: Work, refusal: Refuse) -> None:
        """Count a refusal by its code."""
        if self.open_requests.pop(work.work_id, None) is not None:
            self.refusals[refusal.code] = self.refusals.get(refusal.code, 0) + 1

    def _schedule_arrival(self) -> None:
        plan = self.plan
        peak_rate = plan.requests_per_s * (1.0 + plan.rate_amplitude)
        delay = self.rng.interarrival_s(peak_rate)
        self.clock.after(delay, self._arrive)

    def _arrive(self) -> None:
        if self.clock.now > self.duration_s:
            return
        self._schedule_arrival()
        plan = self.plan
        phase = 2.0 * math.pi * self.clock.now / plan.period_s
        share = (1.0 + plan.rate_amplitude * math.sin(phase)) / (
            1.0 + plan.rate_amplitude
        )
        if self.rng.uniform() < share:
            self._send()

    def _send(self) -> None:
        plan, now = self.plan, self.clock.now
        is_near = self.rng.uniform() < plan.near_share
        region = (
            self.deployment.home_region if is_near else self.deployment.remote_region
        )
        names = [entry.name for entry in self.deployment.desk.classes]
        name = names[int(self.rng.uniform() * len(names))]
        repeatable = self.rng.uniform() < plan.repeatable_share
        drawn_tokens = int(self.rng.lognormal(plan.median_tokens, plan.sigma))
        tokens = max(4, min(plan.max_tokens, drawn_tokens))
        self.sent += 1
        work = Work(
            work_id=WorkId(f"desk/{self.sent}"),
            tenant=TenantId(name),
            kind=WorkKind.DESK,
            model=ModelName(self.deployment.desk.model),
            max_tokens=plan.max_tokens,
            prompt_tokens=plan.prompt_tokens,
            prefix=PrefixId(f"desk/{name}"),
            region=Region(region),
            repeatable=repeatable,
            deadline=now + plan.deadline_s,
        )
        self.work_tokens += tokens
        self.open_requests[work.work_id] = OpenRequest(
            now, region, now + plan.deadline_s
        )
        network, home = self.service.network, self.service.home_region
        network.count_bytes(region, home, REQUEST_BYTES)
        delay = network.latency(region, home) + plan.client_latency_s
        self.clock.after(delay, lambda: self.service.submit(work, tokens))
        self.clock.after(plan.deadline_s, lambda: self._expire(work.work_id))

    def _expire(self, work_id: WorkId) -> None:
        if self.open_requests.pop(work_id, None) is not None:
            self.refusals["gave_up"] = self.refusals.get("gave_up", 0) + 1
            self.service.withdraw(work_id)
