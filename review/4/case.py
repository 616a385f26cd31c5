"""One of three workers fails part of its requests with statuses beside the usual ones."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stand

REQUESTS = 60
DEADLINE_MS = 1000
# Every second and third request of the grey worker, in turn.
STATUSES = (425, 520)
FAILED_SHARE = 0.4


class Desk(stand.Worker):
    """A plain worker. Remembers the status that it gave to each request."""

    def __init__(self, *args, **words):
        super().__init__(*args, concurrency=6, **words)
        self.is_grey = False
        self.count = 0
        self.given = {}

    async def run(self, method, target, message, reader, writer):
        request = self.begin_run(message)
        await asyncio.sleep(0.03)
        self.count += 1
        fails = self.is_grey and self.count % 10 < 10 * FAILED_SHARE
        status = STATUSES[self.count % len(STATUSES)] if fails else 200
        body = f"answer to {request}".encode()
        self.given[request] = (status, body)
        self.record.add("status", self.id, request, status)
        writer.write(stand.answer_bytes(status, self.proof(request, status, body), body))
        await writer.drain()
        return True


async def play(record, folder, trouble):
    fleet = stand.Fleet(record, folder, 2)
    for number in (1, 2, 3):
        fleet.workers.append(Desk(record, f"i-desk-{number}", "desk",
                                  *fleet.worker_address()))
    fleet.workers[0].is_grey = trouble
    pay = stand.route("r-pay", "/pay/", "non_idempotent", "desk", DEADLINE_MS, 150)
    try:
        await fleet.start(stand.config([pay], [stand.plain_service("desk")]))
        broken, counts = [], {}
        for number in range(REQUESTS):
            request = stand.new_id()
            headers = [("Attempt-Id", request), ("Credential", stand.KEY),
                       ("Deadline-Ms", DEADLINE_MS)]
            host = fleet.hosts[number % 2]
            try:
                answer = await stand.call(host.address(8625), "POST", f"/pay/{number}",
                                          headers, b"renew", DEADLINE_MS / 1000 + 1)
            except stand.Broken as error:
                record.add("answered", request, "closed", error)
                continue
            record.add("answered", request, answer.start, answer.get("Response-Signature"))
            status = answer.start.split(" ")[1]
            counts[status] = counts.get(status, 0) + 1
            if not answer.get("Response-Signature"):
                continue
            given = [w.given[request] for w in fleet.workers if request in w.given]
            if (int(status), answer.body) not in given:
                broken.append((request, "worker:", given[0][0], "caller:", status))
        record.say("answers:", counts)
        record.say("other statuses than the worker's:", broken)
        return bool(broken)
    finally:
        await fleet.stop()


stand.run_case(play, Path(__file__).parent)
