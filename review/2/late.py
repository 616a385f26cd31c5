"""Two hosts are stopped in turn; the consumers of the second know no other host."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stand

EVENTS = 50
EVENT_GAP_S = 0.1
DEADLINE_MS = 10000
GAP_S = 1.0  # between the two stops
LAST_EXCUSED_S = 3.0  # requests sent later than this after the SIGTERM are not excused


class Engine(stand.Worker):
    """A model worker that writes events and notes who ends the stream."""

    def __init__(self, *args, **words):
        super().__init__(*args, concurrency=64, **words)
        self.ends = {}

    async def run(self, method, target, message, reader, writer):
        request = self.begin_run(message)
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for name, value in self.proof(request, 200, b""):
            head += f"{name}: {value}\r\n"
        writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
        closed = asyncio.create_task(reader.read(1))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {request}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.wait([closed], timeout=EVENT_GAP_S)
            if closed.done():
                self.ends[request] = f"the caller closed after event {number}"
                self.record.add("worker", request, self.ends[request])
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.ends[request] = "complete"
        self.record.add("worker", request, "complete")
        closed.cancel()
        return False


class Consumer:
    """Asks the directory and keeps its answer three times as long as it says, and longer
    if it gets no new one."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.record = fleet.record
        self.addresses = []
        self.until = 0.0

    async def resolve(self):
        for host in self.fleet.hosts:
            try:
                answer = await stand.call(host.address(8620), "GET",
                                          "/resolve?name=pule25.example&region=r1&zone=z1",
                                          [], b"", 1)
            except stand.Broken as error:
                self.record.add("directory", host.name, error)
                continue
            status = answer.start.split(" ")[1]
            self.record.add("directory", host.name, status, answer.body.decode())
            if status == "200" and json.loads(answer.body).get("addresses"):
                known = json.loads(answer.body)
                self.addresses = known["addresses"]
                self.until = time.monotonic() + 3 * min(known["ttlS"], 5)
                return

    async def send(self, number):
        """Returns the request, its address, when its last byte was sent, and whether its
        answer was complete."""
        if time.monotonic() >= self.until:
            await self.resolve()
        ip, port = self.addresses[number % len(self.addresses)].split(":")
        request = stand.new_id()
        headers = [("Attempt-Id", request), ("Credential", stand.KEY),
                   ("Deadline-Ms", DEADLINE_MS), ("Model", "m"),
                   ("Token-Usage", "1460,350"),
                   ("Prompt-Prefix", f"5c1e07a2:800,{request[:8]}:660")]
        sent = self.record.now()
        self.record.add("sent", request, "to", ip)
        try:
            answer = await stand.call((ip, int(port)), "POST", f"/note/{number}", headers,
                                      b"body", DEADLINE_MS / 1000 + 1)
            status = answer.start.split(" ")[1]
            events = answer.body.count(b"id: ")
            complete = status != "200" or events == EVENTS
        except stand.Broken as error:
            status, events, complete = f"cut ({error})", 0, False
        self.record.add("answered", request, status, events, "events")
        return request, ip, sent, complete


async def play(record, folder, trouble):
    fleet = stand.Fleet(record, folder, 2)
    engine = Engine(record, "i-engine-1", "pool", *fleet.worker_address())
    fleet.workers.append(engine)
    note = stand.route("r-note", "/note/", "streaming", "pool", DEADLINE_MS, 1700,
                       stickySessions=True, streamResume=False, gapAimMs=600)
    stops = {}
    restarts = []

    async def stop(host):
        stops[host.ip] = record.now()
        host.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(host.process.wait(), stand.GRACE_PERIOD_S)
        except asyncio.TimeoutError:
            host.send_signal(signal.SIGKILL)
            await host.process.wait()
        record.add("ended", host.name)
        await asyncio.sleep(stand.RESTART_DELAY_S)
        await host.start(bootstrap=False)

    try:
        await fleet.start(stand.config([note], [stand.ENGINE_SERVICE]))
        first, second = fleet.hosts
        early, keeper = Consumer(fleet), Consumer(fleet)
        early.addresses, early.until = [f"{first.ip}:8625"], time.monotonic() + 60
        # Each host is stopped while it answers a request.
        streams = [asyncio.create_task(early.send(0))]
        await asyncio.sleep(0.1)
        begin = time.monotonic()
        if trouble:
            restarts.append(asyncio.create_task(stop(first)))
        await asyncio.sleep(GAP_S - 0.1)
        await keeper.resolve()
        streams.append(asyncio.create_task(keeper.send(1)))
        await asyncio.sleep(0.1)
        if trouble:
            restarts.append(asyncio.create_task(stop(second)))
        second_stop = begin + GAP_S
        # The consumers of the second host go on, as long as no directory names another.
        for number, after_s in enumerate((3.2, 3.4, 3.6), 2):
            await asyncio.sleep(second_stop + after_s - time.monotonic())
            streams.append(asyncio.create_task(keeper.send(number)))
        answers = await asyncio.gather(*streams)
        await asyncio.gather(*restarts)
        lost = []
        for request, ip, sent, complete in answers:
            since_stop = sent - stops[ip] if ip in stops else None
            planned = (since_stop is not None and
                       since_stop <= stand.GRACE_PERIOD_S + 1)
            excused = since_stop is not None and since_stop <= LAST_EXCUSED_S
            closed = engine.ends.get(request, "").startswith("the caller closed")
            if not complete and planned and not excused and closed:
                lost.append(f"{request} sent {since_stop:.2f} s after the SIGTERM")
        record.say("requests that were passed on to a worker and cut:", lost)
        return bool(lost)
    finally:
        await fleet.stop()


(Path(__file__).parent / "late").mkdir(exist_ok=True)
stand.run_case(play, Path(__file__).parent / "late")
