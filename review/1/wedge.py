"""The second effect of case 1: a restarted host that refuses all requests with stages.

Not part of run.sh. One host is killed once, while one of two stage workers is slow.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stand

DEADLINE_MS = 6000
SLOW_FACTOR = 5


class Engine(stand.Worker):
    async def run(self, method, target, message, reader, writer):
        request = self.begin_run(message)
        body = f"id: 1\ndata: {request}\n\n".encode()
        writer.write(stand.answer_bytes(
            200, [("Content-Type", "text/event-stream"), *self.proof(request, 200, body)],
            body, "OK"))
        await writer.drain()
        return True


async def send(record, host, path, pieces):
    request = stand.new_id()
    headers = [("Attempt-Id", request), ("Credential", stand.KEY),
               ("Deadline-Ms", DEADLINE_MS), ("Model", "m"), ("Token-Usage", "1460,80"),
               ("Prompt-Prefix", f"5c1e07a2:800,{request[:8]}:660"),
               ("Pieces", pieces), ("Piece-Key", request[:12])]
    record.add("sent", request, "to", host.name, path, pieces)
    try:
        answer = await stand.call(host.address(8625), "POST", path, headers, b"body",
                                  DEADLINE_MS / 1000 + 1)
        status = answer.start.split(" ")[1]
    except stand.Broken as error:
        status = f"closed ({error})"
    record.add("answered", request, status)
    return status


async def play(record, folder, trouble):
    fleet = stand.Fleet(record, folder, 3)
    fleet.workers.append(Engine(record, "i-engine-1", "pool", *fleet.worker_address()))
    for number, factor in ((1, 1), (2, SLOW_FACTOR if trouble else 1)):
        fleet.workers.append(stand.StageWorker(
            record, f"i-stage-{number}", "stock", *fleet.worker_address(),
            call_ms=150 * factor, item_ms=16 * factor))
    stage = {"service": "stock", "after": [], "bytes": 8000}
    one = stand.route("r-one", "/one/", "streaming", "pool", DEADLINE_MS, 1300,
                      stages=[stage], gapAimMs=600)
    two = stand.route("r-two", "/two/", "streaming", "pool", DEADLINE_MS, 1300,
                      stages=[stage, {**stage, "after": [0]}], gapAimMs=600)
    try:
        await fleet.start(stand.config(
            [one, two], [stand.ENGINE_SERVICE, stand.stage_service("stock")]))
        queue_host = await fleet.hosts[0].queue_host("stock")
        host, other = [h for h in fleet.hosts if h.name != queue_host]
        first = [asyncio.create_task(send(record, host, "/one/1", "8")) for _ in range(4)]
        await asyncio.sleep(0.1)
        if trouble:
            await host.kill_and_restart()
            await host.wait_until_ready()
        second = [asyncio.create_task(send(record, host, "/two/1", "8,1"))
                  for _ in range(4)]
        await asyncio.gather(*first, *second)
        later, control = [], []
        while record.now() < 90 and len(later) < 15:
            later.append(await send(record, host, "/two/2", "1,1"))
            control.append(await send(record, other, "/two/2", "1,1"))
            record.say("answers of the restarted host", later[-1], "of another", control[-1],
                       "ready:", await host.is_ready())
        return later.count("200") == 0
    finally:
        await fleet.stop()


(Path(__file__).parent / "wedge").mkdir(exist_ok=True)
stand.run_case(play, Path(__file__).parent / "wedge",
               "the restarted host refused all", "the restarted host served")
