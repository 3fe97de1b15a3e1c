"""Fresh reads around a hand-over of the primary, while new connections take longer to set up."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from standins import *

SETUP = 0.22     # seconds that new connections take longer, with the disruption
LAG = 1.5        # seconds that the replicas are behind
ROUNDS = 8
KNOWN_AFTER = 0.1 + 0.05  # "what an answer tells is known 100 ms after it was written", every time limit + 50 ms


class Play:
    def __init__(self, record, temporary, routers):
        self.record, self.temporary, self.routers = record, temporary, routers
        self.broken, self.late_sends = [], 0

    async def round(self, number):
        record, clock = self.record, Clock()
        group = Group(clock)
        old = Node("old%d" % number, group, clock, record, primary=True, lag=LAG)
        new = Node("new%d" % number, group, clock, record, lag=LAG)
        third = Node("third%d" % number, group, clock, record, lag=LAG)
        nodes = [old, new, third]
        for node in nodes:
            await node.start()
            node.work = 0.06
        listed = [entry_of(node) for node in nodes]  # the list shows the roles late: not within this round
        discovery = Discovery(lambda: listed, record)
        await discovery.start()
        router = Router("r%d" % number, discovery.address, settings(
            [lane("access-check", "idempotent", 300, 1200, 1, 0.2), lane("recording-add", "deduplicated", 300, 5000, 3, 0.3,
                  group="cell", window=3000000)], ["latest", "update"]),
            {"version": 1, "full": True, "servers": listed}, self.temporary, record)
        self.routers.append(router)
        await router.ready()
        writer, first, second = [await Client(router.address).open() for _ in range(3)]
        tag = "%d" % number
        outcome = await writer.ask(write_statement("k1", b"before".hex(), "id=w%s,c=recording-add,d=5000,cluster=1" % tag))
        if outcome != ("served", b"before"):
            raise CannotRun("the first write was answered %r" % (outcome,))
        await asyncio.sleep(0.1)
        # The primary hands over. The new one takes a write, which came by another router.
        if TROUBLE:
            for node in nodes:
                node.handshake = SETUP
        old.primary, new.primary = False, True
        handed_over = time.monotonic()
        old.applied_until = lambda: min(handed_over, time.monotonic())  # it has not applied anything newer yet
        record("the primary hands over: %s to %s" % (old.name, new.name))
        group.commit("k1", b"after")
        record("%s commits k1=after" % new.name)
        await asyncio.sleep(0.01)
        old.closes_after_answer = True  # a node may close a connection after an answer
        sent = time.monotonic()
        reads = [asyncio.ensure_future(first.ask(read_statement("k1", "id=a%s,c=access-check,d=1200,cluster=1" % tag)))]
        await asyncio.sleep(0.01)
        reads.append(asyncio.ensure_future(second.ask(read_statement("k1", "id=b%s,c=access-check,d=1200,cluster=1" % tag))))
        outcomes = await asyncio.gather(*reads)
        for name, outcome in zip("ab", outcomes):
            record("read %s%s: %s" % (name, tag, outcome))
            told = [at for at, part in old.roles_told if part == "replica"]
            arrivals = [at for at, fields, _ in old.received if fields["id"] == name + tag]
            late = [at for at in arrivals if told and at > told[0] + KNOWN_AFTER]
            self.late_sends += len(late)
            if late and outcome == ("served", b"before"):
                self.broken.append("fresh read %s%s got data from before a commit older than itself, from a node that had told "
                                   "%.0f ms before the send that it is a replica" % (name, tag, (late[0] - told[0]) * 1000))
        router.end()
        for node in nodes:
            node.server.close()
        return outcomes


async def case(record, temporary, routers):
    play_ = Play(record, temporary, routers)
    served = 0
    for number in range(ROUNDS):
        served += sum(outcome[0] == "served" for outcome in await play_.round(number))
    record("%d of %d reads served, %d sends to a node that was known to be a replica" % (served, 2 * ROUNDS, play_.late_sends))
    return play_.broken


play(os.path.dirname(os.path.abspath(__file__)), case)
