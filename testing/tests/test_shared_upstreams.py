"""Guard against an upstream that serves two services at the same time."""

from concurrent.futures import ThreadPoolExecutor

from cluster_case import ClusterCase
from msgspec.structs import replace

from fulmarpulley_schema import codec
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import DocumentEdit
from fulmarpulley_testing.layout import ClusterSettings, Member
from fulmarpulley_testing.node_system import Reply, http

SERVICES = ("north-desk", "south-desk")


class SharedUpstreamTest(ClusterCase):
    settings = ClusterSettings(seed=41)

    def document(self, name: str) -> ServiceDocument:
        desk = self.cluster.layout.desk_document()
        return replace(desk, name=name, upstreams=desk.upstreams[1:])

    def publish(self, name: str) -> int:
        edit = DocumentEdit(
            record_id=f"first-{name}",
            base_revision=0,
            author=name,
            document=codec.to_builtins(self.document(name)),
        )
        return self.cluster.send_edit(edit, name)

    def request(self, node: Member, service: str) -> Reply:
        url = f"{node.address()}/v1/services/{service}/requests"
        return http(url, "POST", {"input": service, "repeatable": False})

    def problem_of(self, service: str) -> str:
        status = http(f"{self.cluster.layout.nodes[0].address()}/v1/status").body
        revisions = status["nodes"][0]["revisions"]
        return next(
            revision["problem"]
            for revision in revisions
            if revision["service"] == service
        )

    def is_served_at_all_nodes(self, service: str) -> bool:
        nodes = self.cluster.layout.nodes
        return all(self.request(node, service).status == 200 for node in nodes)

    def test_upstream_in_two_documents_serves_first_service_until_released(
        self,
    ) -> None:
        desk = self.cluster.layout.desk_document()
        self.cluster.apply(replace(desk, upstreams=desk.upstreams[:1]))
        with ThreadPoolExecutor(2) as pool:
            revisions = dict(
                zip(SERVICES, pool.map(self.publish, SERVICES), strict=True)
            )
        for name, revision in revisions.items():
            self.cluster.wait_in_force(name, revision)
        first, second = sorted(SERVICES, key=lambda name: revisions[name])
        for node in self.cluster.layout.nodes:
            self.assertEqual(self.request(node, first).status, 200)
            refused = self.request(node, second)
            self.assertEqual(refused.body["code"], "no_upstream")
            self.assertEqual(refused.body["ran"], "not_run")
        self.assertIn(f"is held by {first}", self.problem_of(second))
        self.cluster.apply(replace(self.document(first), upstreams=[]))
        self.cluster.wait_until(
            lambda: self.is_served_at_all_nodes(second), f"answers of {second}"
        )
        refused = self.request(self.cluster.layout.nodes[0], first)
        self.assertEqual(refused.body["code"], "no_upstream")
