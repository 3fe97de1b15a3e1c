"""A planned restart while the primary hangs: clients that connect in the first 0.4 s write their startup in two pieces."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from standins import (STARTUP, TROUBLE, SETTINGS, Client, Discovery, Group, Node, Router, WallClock, main, query_bytes,
                      write_statement)

CLIENTS = 4
CONNECT_S, FIRST_PIECE_S, REST_S = 0.36, 0.56, 0.74  # after SIGTERM
KILL_S = 3.0 + 0.7 + 0.05  # the longest deadline, taken as 3 s, and 0.7 s


async def case(record):
    group = Group(WallClock())
    nodes = [Node(f"n{i}", group, 1, record) for i in range(5)]
    group.primary = nodes[0]
    for node in nodes:
        await node.start()
    discovery = Discovery(nodes, {"n0": True})
    await discovery.start()
    router = Router("r0", discovery, SETTINGS, record)

    async def warm(number):
        client = await Client.connect(router.port)
        for count in range(5):
            await client.query(write_statement(f"k{number}", b"1", f"warm{number}x{count}", "book-charge", 5000, 1))
        client.close()

    async def late(number, terminated):
        ident = f"w{number}"
        until = lambda after: asyncio.sleep(max(0, terminated + after - record.now()))
        await until(CONNECT_S)
        try:
            client = await Client.connect(router.port, startup=False)
        except OSError:
            return ident, "not connected", 0
        await until(FIRST_PIECE_S)
        client.writer.write(STARTUP[:8])
        await until(REST_S)
        client.writer.write(STARTUP[8:] + query_bytes(write_statement(f"s{number}", b"1", ident, "book-charge", 5000, 1)))
        sent = record.now() - terminated
        record(f"client has sent {ident}, {sent:.3f} s after SIGTERM")
        answer = await client.answer()
        record(f"client gets {ident}: {answer}, {record.now() - terminated:.3f} s after SIGTERM")
        return ident, answer.kind, sent

    try:
        if not await router.ready():
            raise RuntimeError("the router did not get ready")
        await asyncio.gather(*(warm(number) for number in range(6)))
        if TROUBLE:
            record("n0, the primary, hangs")
            nodes[0].hung = True
        terminated = record.now()
        router.signal(signal.SIGTERM)
        late_ones = [asyncio.ensure_future(late(number, terminated)) for number in range(CLIENTS)]
        while record.now() < terminated + KILL_S and router.process.poll() is None:
            await asyncio.sleep(0.02)
        ended = router.process.poll()
        record(f"the router has ended with {ended}" if ended is not None else "SIGKILL finds the router alive")
        if ended is None:
            router.signal(signal.SIGKILL)
        results = await asyncio.gather(*late_ones)
        forwarded = {ident for node in nodes for _, ident, _ in node.runs}
        lost = [ident for ident, kind, sent in results if kind == "lost" and sent > 0.7 and ident in forwarded
                or kind == "lost" and sent > 0.7 and ended is None]
        return f"{len(lost)} of {CLIENTS} requests that came over 0.7 s after SIGTERM got no answer" if lost else None
    finally:
        for node in nodes:
            node.hung = False
        router.end()


sys.exit(main(case, FOLDER))
