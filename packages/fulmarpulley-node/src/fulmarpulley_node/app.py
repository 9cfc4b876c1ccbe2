"""Create and connect the services of a node."""

import os
import random
import uuid
from collections.abc import Sequence

from aiomisc import Service

from fulmarpulley_schema.generated.settings import NodeSettings

from .configuration import Configuration
from .edge_callers import CallerApi
from .edge_health import HealthApi
from .edge_operators import OperatorApi
from .edge_trainers import TrainerApi
from .edit_publisher import EditPublisher
from .gate import Gate
from .homes.partitions import PartitionHomeManager
from .homes.pools import PoolHomeManager
from .homes.steps import StepHomeManager
from .http_server import HttpServer
from .keyed_client import KeyedClient
from .locator import Locator
from .log_client import LogClient
from .members import Members
from .observe.events import EventFeed
from .observe.metrics import Metrics
from .peers import PeerLinks
from .shutdown import Shutdown
from .status import StatusReport
from .versions import Versions
from .work_client import WorkClient


class Node:
    """Hold the services of one node; construct it inside a running event loop."""

    def __init__(self, settings: NodeSettings, feed: EventFeed) -> None:
        self.settings = settings
        self.random = random.Random(
            settings.seed or int.from_bytes(os.urandom(8), "big")
        )
        self.metrics = Metrics()
        self.log = LogClient(settings, self.metrics)
        self.peers = PeerLinks(settings, self.metrics)
        self.members = Members(settings, self.peers, self.metrics, self.new_seed())
        self.locator = Locator(self.members)
        self.configuration = Configuration(
            self.log, self.peers, self.members, self.metrics
        )
        self.gate = Gate(self.configuration, self.members)
        self.edit_publisher = EditPublisher(
            settings, self.log, self.configuration, self.locator
        )
        self.versions = Versions(self.log, self.peers, self.configuration, self.locator)
        self.work_client = WorkClient(
            self.peers, self.members, self.configuration, self.locator
        )
        self.pools = PoolHomeManager(
            settings,
            self.log,
            self.peers,
            self.members,
            self.configuration,
            self.versions,
            self.locator,
            self.metrics,
            self.new_seed,
        )
        self.steps = StepHomeManager(
            self.peers,
            self.members,
            self.configuration,
            self.versions,
            self.locator,
            self.work_client,
            self.metrics,
            uuid.uuid4().hex[:8],
        )
        self.partitions = PartitionHomeManager(
            settings,
            self.log,
            self.peers,
            self.members,
            self.configuration,
            self.work_client,
            self.locator,
        )
        self.keyed_client = KeyedClient(
            settings, self.peers, self.partitions, self.locator, self.new_seed()
        )
        self.callers = CallerApi(
            self.gate, self.work_client, self.keyed_client, self.metrics
        )
        self.http = HttpServer(settings, self._build_apis(feed))
        self.shutdown = Shutdown(
            settings,
            self.gate,
            self.members,
            self.pools,
            self.steps,
            self.partitions,
            lambda: self.callers.open_requests,
        )

    def services(self) -> Sequence[Service]:
        """List the services in start order."""
        return (
            self.peers,
            self.log,
            self.members,
            self.configuration,
            self.edit_publisher,
            self.versions,
            self.pools,
            self.steps,
            self.partitions,
            self.http,
        )

    def new_seed(self) -> int:
        """Draw a seed for a component that makes random choices."""
        return self.random.getrandbits(63)

    def _build_apis(
        self, feed: EventFeed
    ) -> list[CallerApi | TrainerApi | OperatorApi | HealthApi]:
        status_report = StatusReport(
            self.settings,
            self.gate,
            self.configuration,
            self.members,
            self.pools,
            self.log,
        )
        trainers = TrainerApi(
            self.gate, self.peers, self.locator, self.versions, self.metrics
        )
        operators = OperatorApi(
            self.gate,
            self.configuration,
            self.edit_publisher,
            self.members,
            self.peers,
            status_report,
            feed,
        )
        health = HealthApi(self.gate, self.metrics)
        return [self.callers, trainers, operators, health]
