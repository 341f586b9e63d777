"""A replica of a streaming service, as a process of its own that can be killed.

Usage: drafter.py ADDRESS PORT ID SEED

Each stream has EVENTS events, of which each tells its number and how many
there are.  UNFRAMED of the answers have no length and end with their channel;
the others come in chunks.  A stream is continued after Last-Event-Id.
"""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import stand

EVENTS = 28
EVENT_S = 0.04
SLOTS = 12
UNFRAMED = 0.05


class Drafter(stand.Server):
    def __init__(self, ip, port, name, draw):
        super().__init__(ip, port)
        self.id = name
        self.draw = draw
        self.running = 0

    async def handle(self, method, target, headers, body, writer):
        echo = [("X-Attempt-Id", headers.get("x-attempt-id", ""))]
        if target == "/healthz":
            writer.write(stand.response(200, b"", [("X-Replica-Id", self.id)]))
        elif headers.get("x-expect-replica", self.id) != self.id:
            writer.write(stand.response(
                421, b"", echo + [("X-Not-Executed", "1")]))
        elif not target.startswith("/draft/") or self.running >= SLOTS:
            writer.write(stand.response(
                503, b"", echo + [("X-Not-Executed", "1")]))
        else:
            return await self.stream(headers, echo, writer)
        return True

    async def stream(self, headers, echo, writer):
        unframed = self.draw.random() < UNFRAMED
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "%s: %s" % echo[0], "X-Replica-Signature: 3e1b.07"]
        head.append("Connection: close" if unframed
                    else "Transfer-Encoding: chunked")
        self.running += 1
        try:
            await asyncio.sleep(0.1)
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            first = int(headers.get("last-event-id", "0")) + 1
            for number in range(first, EVENTS + 1):
                event = b"id: %d\ndata: %d of %d by %s\n\n" % (
                    number, number, EVENTS, self.id.encode())
                if not unframed:
                    event = b"%x\r\n%s\r\n" % (len(event), event)
                writer.write(event)
                await writer.drain()
                await asyncio.sleep(EVENT_S)
            if not unframed:
                writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
        return not unframed


async def main():
    ip, port, name, seed = sys.argv[1:]
    asyncio.get_running_loop().set_exception_handler(lambda loop, c: None)
    await Drafter(ip, int(port), name, random.Random(int(seed))).start()
    print("ready", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
