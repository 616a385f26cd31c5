"""A host is stopped while requests that it has read wait for their stages."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stand

# The usual traffic of the deployment, from the first to the last second.
REQUESTS_PER_S = 16
BEFORE_STOP_S = 7
PIECES = 8
DEADLINE_MS = 10000
# Consumers keep an answer of the directory with ttlS = 1 three times as long.
KEPT_S = 2.9


class Engine(stand.Worker):
    """A model worker."""

    async def run(self, method, target, message, reader, writer):
        request = self.begin_run(message)
        body = f"id: 1\ndata: {request}\n\n".encode()
        writer.write(stand.answer_bytes(
            200, [("Content-Type", "text/event-stream"), *self.proof(request, 200, body)],
            body, "OK"))
        await writer.drain()
        return True


class StageWorker(stand.StageWorker):
    """Remembers when a worker first got a piece of each request."""

    begun = {}

    async def run(self, method, target, message, reader, writer):
        if target == "/stage-run":
            for item in json.loads(message.body)["items"]:
                StageWorker.begun.setdefault(item["id"], self.record.now())
        return await super().run(method, target, message, reader, writer)


class Sent:
    def __init__(self, request, host, at):
        self.request = request
        self.host = host
        self.at = at
        self.status = None
        self.ended = None


async def send(record, sent):
    headers = [("Attempt-Id", sent.request), ("Credential", stand.KEY),
               ("Deadline-Ms", DEADLINE_MS), ("Model", "m"), ("Token-Usage", "1460,80"),
               ("Prompt-Prefix", f"5c1e07a2:800,{sent.request[:8]}:660"),
               ("Pieces", PIECES), ("Piece-Key", sent.request[:12])]
    record.add("sent", sent.request, "to", sent.host.name)
    try:
        answer = await stand.call(sent.host.address(8625), "POST", "/note/1", headers,
                                  b"body", DEADLINE_MS / 1000 + 1)
        sent.status = answer.start.split(" ")[1]
    except stand.Broken as error:
        sent.status = f"closed ({error})"
    sent.ended = record.now()
    record.add("answered", sent.request, sent.status)


async def play(record, folder, trouble):
    fleet = stand.Fleet(record, folder, 2)
    fleet.workers.append(Engine(record, "i-engine-1", "pool", *fleet.worker_address(),
                                concurrency=64))
    for number in (1, 2):
        fleet.workers.append(StageWorker(record, f"i-stage-{number}", "stock",
                                         *fleet.worker_address()))
    note = stand.route("r-note", "/note/", "streaming", "pool", DEADLINE_MS, 1700,
                       stages=[{"service": "stock", "after": [], "bytes": 8000}],
                       stickySessions=True, streamResume=False, gapAimMs=600)
    try:
        await fleet.start(stand.config(
            [note], [stand.ENGINE_SERVICE, stand.stage_service("stock")]))
        queue_host = await fleet.hosts[0].queue_host("stock")
        stopped = next(host for host in fleet.hosts if host.name != queue_host)
        other = next(host for host in fleet.hosts if host is not stopped)
        all_sent, tasks = [], []
        begin = record.now()
        stop_at = begin + BEFORE_STOP_S
        signalled = None
        while record.now() < stop_at + KEPT_S + 3:
            now = record.now()
            if signalled is None and now >= stop_at:
                signalled = now
                if trouble:
                    stopped.send_signal(signal.SIGTERM)
            gone = signalled is not None and now > signalled + KEPT_S
            host = other if gone or len(all_sent) % 2 else stopped
            sent = Sent(stand.new_id(), host, now)
            all_sent.append(sent)
            tasks.append(asyncio.create_task(send(record, sent)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)
        lost = [s for s in all_sent
                if s.host is stopped and s.status.startswith("closed")
                and s.ended - s.at > stand.LOSS_SLACK_MS / 1000
                and s.ended - s.at < DEADLINE_MS / 1000
                and StageWorker.begun.get(s.request, s.ended) >= s.ended]
        counts = {}
        for sent in all_sent:
            counts[sent.status] = counts.get(sent.status, 0) + 1
        record.say("answers:", counts)
        record.say("read, not begun at any worker, and closed without an answer:",
                   [f"{s.request} sent {s.at - signalled:.2f} s after the SIGTERM, closed "
                    f"{s.ended - signalled:.2f} s after it" for s in lost])
        return bool(lost)
    finally:
        await fleet.stop()


stand.run_case(play, Path(__file__).parent)
