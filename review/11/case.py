"""One item is larger than the memory of the workers."""

import base64
import json
import os
import sys
import threading
import time
import zlib

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "11"))
import kit

STRIDE = 52
KV_TOKENS = 34744
PROMPT = 271
SHORT, LONG, TOO_LARGE = 8 * STRIDE, 84 * STRIDE, 40_000
EVENT_MS = 145
# The trainer's deadline on the sheet; the results are due after 7.5 s.
TIME_S = 12.0
UNTOUCHED_S = 5.0
BEGAN_S = 3.0
SLOTS = 60
# Groups of four items and those that the trainer waits for, as on the sheet.
GROUPS, WANTED = 14, 13
OTHER_GROUPS = 9
LONG_GROUPS, OTHER_LONG_GROUPS = 8, 2


def part_id(text: str) -> str:
    """Return the id of a part of a prompt."""
    return f"{zlib.crc32(text.encode()):08x}"


def item(name: str, tokens: int, group: str) -> dict:
    """Return an item that generates a number of tokens."""
    return {
        "Id": name,
        "Path": f"{kit.LOT}3/{name}",
        "Headers": {
            "Model": "",
            "Token-Counts": f"{PROMPT},{tokens}",
            "Prompt-Prefix": f"{part_id(group)}:255,{part_id(name)}:16",
        },
        "Body": base64.b64encode(f"body of {name}".encode()).decode(),
        "Tokens": PROMPT + tokens,
        "Group": group,
    }


def submit(
    case: kit.Case, number: int, step: str, model: str, lengths: list[int],
    wanted: int, carried: list[dict],
) -> list[dict]:
    """Submit groups of four items at any node, and return the items."""
    new = [
        item(f"{step}-{i}", tokens, f"{step}-g{i // 4}")
        for i, tokens in enumerate(lengths)
    ]
    items = carried + new
    for each in items:
        each["Headers"]["Model"] = model
    body = {
        "Step": number, "Model": model, "MinVersion": 1, "TargetGroups": wanted,
        "Items": items,
    }
    node = case.nodes[number % len(case.nodes)]
    status, _ = kit.call(
        node.front, "POST", f"{kit.LOT}7c", json.dumps(body).encode(),
        {"Request-Id": step},
    )
    case.record(f"submission {step} of {len(items)} items at {node.name}: {status}")
    if status != 202:
        raise kit.CannotRun(f"{step} was not accepted")
    return items


def listed(case: kit.Case, step: str) -> set[str]:
    """Return the items of a submission that have a result."""
    status, data = kit.call(case.nodes[1].front, "GET", f"/-/lots/{step}?After=0")
    results = json.loads(data)["Results"] if status == 200 else []
    return {result["Id"] for result in results}


def main(case: kit.Case) -> int:
    """Return whether a step ran out of time as the rule says."""
    case.start_store()
    case.configure()
    models = ",".join(kit.MODELS)
    for number in range(5):
        case.start_worker(
            f"llm-{number}", "comfort-llm", models=models, work_ms=EVENT_MS,
            stride=STRIDE, kv_tokens=KV_TOKENS,
        )
    case.start_nodes(3)
    time.sleep(4)
    # The group of the large item isn't complete when the trainer has what it waits for.
    large = TOO_LARGE if kit.DISTURBED else SHORT
    first = submit(case, 0, "m0-0", "m0", [SHORT] * 7 + [large], 1, [])
    wanted = 7 if kit.DISTURBED else 8
    case.wait(lambda: len(listed(case, "m0-0")) >= wanted, 20, "the first step")
    status, _ = kit.call(case.nodes[2].front, "DELETE", "/-/lots/m0-0")
    case.record(f"end of m0-0: {status}")
    time.sleep(2)
    carried = first[4:] if kit.DISTURBED else []
    fresh = [LONG] + [SHORT] * 3
    short = [SHORT] * 4
    count = GROUPS - len(carried) // 4
    lengths = fresh * LONG_GROUPS + short * (count - LONG_GROUPS)
    step = submit(case, 1, "m0-1", "m0", lengths, WANTED, carried)
    accepted = time.time()
    names = {each["Id"] for each in step} - {first[7]["Id"]}
    other = fresh * OTHER_LONG_GROUPS + short * (OTHER_GROUPS - OTHER_LONG_GROUPS)

    def other_trainer() -> None:
        time.sleep(0.3)
        submit(case, 0, "m1-0", "m1", other, OTHER_GROUPS, [])

    thread = threading.Thread(target=other_trainer)
    thread.start()
    in_use: list[tuple[float, int]] = []
    while time.time() < accepted + TIME_S:
        runs = [r for r in case.runs() if r["what"] in ("run", "done")]
        began = {r["id"] for r in runs if r["what"] == "run"}
        done = {r["id"] for r in runs if r["what"] == "done"}
        running = len(began - done)
        in_use.append((time.time(), running))
        case.record(
            f"m0-1 after {time.time() - accepted:.1f} s: {len(names & began)} of "
            f"{len(names)} began, {len(names & done)} finished; {running} of {SLOTS} "
            f"slots in use"
        )
        time.sleep(0.5)
    thread.join()
    out_of_time = accepted + TIME_S
    history = case.runs()
    began = {r["id"]: r["t"] for r in history if r["what"] == "run" and r["t"] < out_of_time}
    done = {r["id"] for r in history if r["what"] == "done" and r["t"] < out_of_time}
    waiting = {n for n in names if n not in began}
    last_began = max(began.values())
    rejected = sum(r["what"] == "rejected" for r in history)
    case.record(
        f"m0-1 ran out of time: {len(names & done)} items finished by a worker, "
        f"{len(waiting)} at no worker all the time; the last item of any step began "
        f"{out_of_time - last_began:.1f} s before; the large item was rejected "
        f"{rejected} times"
    )
    most = max(n for at, n in in_use if at > out_of_time - UNTOUCHED_S)
    case.record(f"slots in use in the last {UNTOUCHED_S} s: {most} of {SLOTS} at most")
    broken = (
        waiting
        and names & began.keys()
        and most < SLOTS / 2
        and out_of_time - last_began > BEGAN_S
    )
    return kit.BROKEN if broken else kit.PASSED


if __name__ == "__main__":
    kit.run(main, os.path.dirname(os.path.abspath(__file__)))
