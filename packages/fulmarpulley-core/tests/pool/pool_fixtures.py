from collections.abc import Iterable

from fulmarpulley_core.ids import (
    AttemptId,
    ModelName,
    TenantId,
    UpstreamId,
    Version,
    WorkId,
)
from fulmarpulley_core.pool.dispatcher import Pool
from fulmarpulley_core.pool.messages import (
    Action,
    AttemptFailed,
    AttemptFinished,
    AttemptProgress,
    Event,
    Failure,
    PoolSettings,
    Refuse,
    StartAttempt,
    Submit,
    Tick,
    VersionReport,
    Work,
    WorkKind,
)
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


def work(name: str, **fields: object) -> Work:
    base: dict[str, object] = {
        "tenant": TenantId("t"),
        "kind": WorkKind.DESK,
        "model": MODEL,
        "max_tokens": 10,
    }
    return Work(work_id=WorkId(name), **{**base, **fields})  # type: ignore[arg-type]


def sample(name: str, **fields: object) -> Work:
    return work(name, **{"kind": WorkKind.SAMPLE, **fields})


class Driver:
    """Drives a pool and keeps the actions of every event."""

    def __init__(self, doc: ServiceDocument, **settings: object) -> None:
        self.pool = Pool(doc, PoolSettings(**settings), seed=7)  # type: ignore[arg-type]
        self.now = 0.0
        self.log: list[Action] = []

    def send(self, event: Event, after: float = 0.0) -> list[Action]:
        self.now += after
        actions = self.pool.handle(event, self.now)
        self.log += actions
        return actions

    def submit(self, *works: Work) -> list[StartAttempt]:
        actions = [action for item in works for action in self.send(Submit(item))]
        return starts(actions)

    def report_versions(self, version: int, *names: str) -> None:
        for name in names:
            self.send(VersionReport(UpstreamId(name), MODEL, Version(version)))

    def progress(
        self, attempt: AttemptId, tokens: int, version: int | None = None
    ) -> list[Action]:
        label = None if version is None else Version(version)
        return self.send(AttemptProgress(attempt, tokens, label))

    def finish(self, attempt: AttemptId, tokens: int = 10) -> list[Action]:
        return self.send(AttemptFinished(attempt, tokens))

    def fail(
        self, attempt: AttemptId, failure: Failure, tokens: int = 0, **fields: float
    ) -> list[Action]:
        return self.send(AttemptFailed(attempt, failure, tokens, **fields))


def starts(actions: Iterable[Action]) -> list[StartAttempt]:
    return [action for action in actions if isinstance(action, StartAttempt)]


def refusals(actions: Iterable[Action]) -> list[Refuse]:
    return [action for action in actions if isinstance(action, Refuse)]


def run(driver: Driver, seconds: float) -> list[StartAttempt]:
    """Lets time pass, with a tick at every wakeup, and returns the starts."""
    until, started = driver.now + seconds, []
    while (due := driver.pool.next_wakeup()) is not None and due <= until:
        driver.now = due
        started += starts(driver.send(Tick()))
    driver.now = until
    return started
