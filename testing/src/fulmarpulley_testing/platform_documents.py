"""Build the documents that operators and trainers of the platform write."""

import base64
from typing import Any

import msgspec

MODEL = "m0"
ENGINES = "engines"
DESK = "desk"
HOST = "host.example"
ROLLOUT_PREFIX = "/lot/"
DESK_PREFIX = "/desk/"
UNSAFE_PREFIX = "/once/"
# Keys of client accounts, by name.
# The first key of an account is never removed.
ACCOUNT_KEYS = {"acme": ["key-of-acme-1", "key-of-acme-2"], "bolt": ["key-of-bolt"]}


def configuration(version: int) -> dict[str, Any]:
    """Return a configuration with an engine service and a desk service."""
    rollout = {
        "Name": "r-lot",
        "Host": HOST,
        "PathPrefix": ROLLOUT_PREFIX,
        "RouteKind": "rollout",
        "TimeoutMs": 10000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "Service": ENGINES,
        "MaxAttempts": 3,
        "RetentionS": 40.0,
        "ResultDeadlineMs": 7500,
        "StickySessions": True,
        "Resumable": True,
    }
    desk = {
        "Name": "r-desk",
        "Host": HOST,
        "PathPrefix": DESK_PREFIX,
        "RouteKind": "safe",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 200,
        "Priority": 2,
        "Service": DESK,
        "MaxAttempts": 2,
    }
    unsafe = {
        **desk,
        "Name": "r-once",
        "PathPrefix": UNSAFE_PREFIX,
        "RouteKind": "unsafe",
    }
    engine = {
        "Slots": 4,
        "KvCacheTokens": 10000,
        "Stride": 10,
        "Models": [{"Name": MODEL}],
    }
    services = [
        {"Name": ENGINES, "HealthPath": "/health", "Engine": engine},
        {"Name": DESK, "HealthPath": "/health"},
    ]
    return {
        "Version": version,
        "Routes": [rollout, desk, unsafe],
        "Services": services,
        "Limits": {},
    }


def tenants(keys: dict[str, list[str]]) -> list[dict[str, Any]]:
    """Return the client accounts of a configuration."""
    return [{"Name": name, "ApiKeys": list(own)} for name, own in keys.items()]


def reward_id(item: str) -> str:
    """Return the request id of an item's reward call."""
    return f"{item}-reward"


def reward_call(item: str) -> dict[str, str]:
    """Return the reward call of an item, routed to the desk service."""
    return {
        "Id": reward_id(item),
        "Host": HOST,
        "Path": f"{DESK_PREFIX}score/{item}",
        "Body": base64.b64encode(f"score {item}".encode()).decode(),
    }


def submission(
    step: str,
    items: int,
    min_version: int = 1,
    number: int = 0,
    rewards: bool = False,
) -> bytes:
    """Return the body of a step submission with groups of two items."""
    entries: list[dict[str, Any]] = [
        {
            "Id": f"{step}-{index}",
            "Path": f"{ROLLOUT_PREFIX}run/{index}",
            "Headers": {"Model": MODEL, "Token-Counts": "10,100"},
            "Body": base64.b64encode(f"body {index}".encode()).decode(),
            "Tokens": 110,
            "Group": f"{step}-g{index // 2}",
        }
        for index in range(items)
    ]
    if rewards:
        for entry in entries:
            entry["ScoringEndpoint"] = reward_call(entry["Id"])
    return msgspec.json.encode(
        {
            "Step": number,
            "Model": MODEL,
            "MinVersion": min_version,
            "TargetGroups": items // 2,
            "Items": entries,
        }
    )
