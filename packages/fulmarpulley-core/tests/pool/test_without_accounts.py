"""Play a pool without accounts, and compare its actions with recorded ones."""

import hashlib
import random
from unittest import TestCase

from fulmarpulley_core.ids import UpstreamId
from fulmarpulley_core.pool import messages as m
from fulmarpulley_schema.generated.document import ClassEntry, Limits

from .pool_fixtures import Driver, document, sample, work

# Digest of the actions of the build before accounts (fff3af5).
RECORDED_ACTIONS = "d75391fc5be34639ad52faadcc3b0ab8"


def play(events: int) -> Driver:
    chosen = random.Random(5)
    classes = [ClassEntry(name="a"), ClassEntry(name="b", share=2.0)]
    classes.append(ClassEntry(name="low", priority=1))
    doc = document(("u1", "u2"), classes=classes, limits=Limits(queue=40))
    driver = Driver(doc)
    running: list[m.StartAttempt] = []
    for number in range(events):
        driver.now += chosen.expovariate(30.0)
        kind = chosen.choice(["work"] * 4 + ["sample"] + ["end"] * 4)
        if kind == "end" and running:
            start = running.pop(chosen.randrange(len(running)))
            if chosen.random() < 0.1:
                actions = driver.fail(start.attempt_id, m.Failure.BROKEN)
            else:
                actions = driver.finish(start.attempt_id, chosen.randint(1, 10))
        elif kind == "sample":
            tenant = chosen.choice(["x", "y"])
            actions = driver.send(m.Submit(sample(f"s{number}", tenant=tenant)))
        else:
            each = work(
                f"w{number}",
                tenant=chosen.choice(["a", "b", "b", "low", "other"]),
                max_tokens=chosen.randint(1, 900),
                priority=chosen.randint(0, 9),
                deadline=driver.now + chosen.uniform(0.2, 30.0),
            )
            actions = driver.send(m.Submit(each))
        ended = {a.attempt_id for a in actions if isinstance(a, m.CancelAttempt)}
        running += [a for a in actions if isinstance(a, m.StartAttempt)]
        running = [start for start in running if start.attempt_id not in ended]
        if number == events // 2:
            driver.send(m.UpstreamState(UpstreamId("u2"), m.Availability.LEAVING))
    return driver


class WithoutAccountsTest(TestCase):
    """Guards against another order or admission of work that has no account."""

    def test_actions_are_those_of_the_build_before_accounts(self) -> None:
        actions = play(6000).log
        text = "\n".join(map(str, actions))
        codes = {action.code for action in actions if isinstance(action, m.Refuse)}
        self.assertEqual(codes, {"overloaded", "deadline_passed"})
        digest = hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
        self.assertEqual(digest, RECORDED_ACTIONS)
