"""Provide settings for the tests of a platform node."""

from fulmarpulley_schema.generated.rollout_settings import (
    LogStoreSettings,
    RolloutSettings,
)


def settings(**log: int) -> RolloutSettings:
    return RolloutSettings(
        node_id="n1",
        data_centre="a1",
        region="a",
        regions={"a1": "a"},
        callers="h:1",
        readiness="h:2",
        metrics="h:3",
        log=LogStoreSettings(address="h:4", partitions=1, **log),
    )
