"""A host is killed and comes back while another host runs the stages of its requests."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stand

REQUESTS = 14
PIECES = 8
DEADLINE_MS = 6000


class Engine(stand.Worker):
    """A model worker. Notes requests that come with results of another request."""

    def __init__(self, *args, **words):
        super().__init__(*args, concurrency=64, **words)
        self.foreign = []

    async def run(self, method, target, message, reader, writer):
        request = self.begin_run(message)
        handles = [h for h in message.get("Inputs").split(",") if h]
        owners = [stand.ALL_RESULTS.get(handle, ("unknown", 0, 0)) for handle in handles]
        wanted = sorted((request, 0, piece) for piece in range(PIECES))
        self.record.add("inputs", request, "got", sorted(owners))
        if sorted(owners) != wanted:
            self.foreign.append((request, sorted({owner[0] for owner in owners})))
        body = "".join(f"id: {n}\ndata: {request}\n\n" for n in range(1, 5)).encode()
        writer.write(stand.answer_bytes(
            200, [("Content-Type", "text/event-stream"), *self.proof(request, 200, body)],
            body, "OK"))
        await writer.drain()
        return True


async def send(record, host, number, results):
    request = stand.new_id()
    record.add("sent", request, "to", host.name, "number", number)
    headers = [("Attempt-Id", request), ("Credential", stand.KEY),
               ("Deadline-Ms", DEADLINE_MS), ("Model", "m"), ("Token-Usage", "1460,80"),
               ("Prompt-Prefix", f"5c1e07a2:800,{request[:8]}:660"),
               ("Pieces", PIECES), ("Piece-Key", request[:12])]
    try:
        answer = await stand.call(host.address(8625), "POST", f"/plan/{number}", headers,
                                  b"body", DEADLINE_MS / 1000 + 1)
        status = answer.start.split(" ")[1]
    except stand.Broken as error:
        status = f"closed ({error})"
    record.add("answered", request, status)
    results.append(status)


async def play(record, folder, trouble):
    fleet = stand.Fleet(record, folder, 3)
    engine = Engine(record, "i-engine-1", "pool", *fleet.worker_address())
    fleet.workers.append(engine)
    for number in (1, 2):
        fleet.workers.append(stand.StageWorker(
            record, f"i-stage-{number}", "stock", *fleet.worker_address()))
    plan = stand.route("r-plan", "/plan/", "streaming", "pool", DEADLINE_MS, 1300,
                       stages=[{"service": "stock", "after": [], "bytes": 8000}],
                       stickySessions=True, streamResume=False, gapAimMs=600)
    try:
        await fleet.start(stand.config(
            [plan], [stand.ENGINE_SERVICE, stand.stage_service("stock")]))
        queue_host = await fleet.hosts[0].queue_host("stock")
        host = next(other for other in fleet.hosts if other.name != queue_host)
        record.add("the queue runs at", queue_host, "requests go to", host.name)
        before, after = [], []
        first = [asyncio.create_task(send(record, host, n, before))
                 for n in range(1, REQUESTS + 1)]
        await asyncio.sleep(0.25)
        if trouble:
            await host.kill_and_restart()
            await host.wait_until_ready()
        else:
            await asyncio.gather(*first)
        second = [asyncio.create_task(send(record, host, n, after))
                  for n in range(1, REQUESTS + 1)]
        await asyncio.gather(*first, *second)
        record.say("answers before:", sorted(before), "after:", sorted(after))
        record.say("requests run with results of another request:", engine.foreign)
        return bool(engine.foreign)
    finally:
        await fleet.stop()


stand.run_case(play, Path(__file__).parent)
