from collections.abc import Iterable

from fulmarpulley_core.ids import (
    AttemptId,
    ModelName,
    TenantId,
    UpstreamId,
    Version,
    WorkId,
)
from fulmarpulley_core.pool import messages as m
from fulmarpulley_core.pool.dispatcher import Pool
from fulmarpulley_schema.generated.document import (
    ServiceDocument,
    ServiceKind,
    UpstreamEntry,
)

MODEL = ModelName("m")


def upstream(name: str, **fields: object) -> UpstreamEntry:
    base: dict[str, object] = {
        "address": f"http://{name}",
        "data_centre": "a1",
        "region": "a",
        "capacity": 2,
    }
    return UpstreamEntry(id=name, **{**base, **fields})  # type: ignore[arg-type]


def document(
    names: Iterable[str | UpstreamEntry] = ("u1", "u2"),
    kind: ServiceKind = ServiceKind.DESK,
    capacity: int = 2,
    **fields: object,
) -> ServiceDocument:
    entries = [
        upstream(n, capacity=capacity) if isinstance(n, str) else n for n in names
    ]
    return ServiceDocument(name="s", kind=kind, model="m", upstreams=entries, **fields)  # type: ignore[arg-type]


def work(name: str, **fields: object) -> m.Work:
    base: dict[str, object] = {
        "tenant": TenantId("t"),
        "kind": m.WorkKind.DESK,
        "model": MODEL,
        "max_tokens": 10,
    }
    return m.Work(work_id=WorkId(name), **{**base, **fields})  # type: ignore[arg-type]


def sample(name: str, **fields: object) -> m.Work:
    return work(name, **{"kind": m.WorkKind.SAMPLE, **fields})


class Driver:
    """Send events to a pool, and log the actions that it returns."""

    def __init__(self, doc: ServiceDocument, **settings: object) -> None:
        self.pool = Pool(doc, m.PoolSettings(**settings), seed=7)  # type: ignore[arg-type]
        self.now = 0.0
        self.log: list[m.Action] = []

    def send(self, event: m.Event, after: float = 0.0) -> list[m.Action]:
        self.now += after
        actions = self.pool.handle(event, self.now)
        self.log += actions
        return actions

    def submit(self, *works: m.Work) -> list[m.StartAttempt]:
        actions = [action for item in works for action in self.send(m.Submit(item))]
        return starts(actions)

    def report_versions(self, version: int, *names: str) -> None:
        for name in names:
            self.send(m.VersionReport(UpstreamId(name), MODEL, Version(version)))

    def progress(
        self, attempt: AttemptId, tokens: int, version: int | None = None
    ) -> list[m.Action]:
        label = None if version is None else Version(version)
        return self.send(m.AttemptProgress(attempt, tokens, label))

    def finish(self, attempt: AttemptId, tokens: int = 10) -> list[m.Action]:
        return self.send(m.AttemptFinished(attempt, tokens))

    def fail(
        self, attempt: AttemptId, failure: m.Failure, tokens: int = 0, **fields: float
    ) -> list[m.Action]:
        return self.send(m.AttemptFailed(attempt, failure, tokens, **fields))


def starts(actions: Iterable[m.Action]) -> list[m.StartAttempt]:
    return [action for action in actions if isinstance(action, m.StartAttempt)]


def refusals(actions: Iterable[m.Action]) -> list[m.Refuse]:
    return [action for action in actions if isinstance(action, m.Refuse)]


def run(driver: Driver, seconds: float, first: bool = False) -> list[m.StartAttempt]:
    """Tick at every wakeup and return the starts; with `first`, stop at the first."""
    until, started = driver.now + seconds, []
    while (due := driver.pool.next_wakeup()) is not None and due <= until:
        driver.now = due
        started += starts(driver.send(m.Tick()))
        if first and started:
            return started
    driver.now = until
    return started
