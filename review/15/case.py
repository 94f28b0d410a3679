"""Workers crash and start again under their ids as another kind."""
import asyncio
import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
from rig import Drop, Worker, new_job, run_case  # noqa: E402

HOSTS = 3
WORKERS = 9
CRASHED = 1        # srv_crash: share 0.14 of nine
DARK_S = 1.0       # srv_crash: for_s up to 4.5
BEAT_S = 0.7       # the first entry of the new life; later ones each 1.5 s
TRAFFIC_S = 40
JOBS_A_SECOND = 12


class KindWorker(Worker):
    kind, up = "a", True

    async def beat(self):
        life = self.born
        while self.up and self.born == life:
            self.seq += 1
            await self.rig.store.put("servers", self.id, {
                "service": "desk", "addr": self.address, "zone": self.zone,
                "version": "v1", "slots": 64, "state": "ready",
                "coldRemainingMs": 0, "machine": self.machine,
                "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
                "labels": [self.kind, self.rack], "clockMs": self.clock(),
                "born": self.born, "seq": self.seq})
            await asyncio.sleep(1.5)

    async def handle(self, caller, *call):
        while not self.up:
            await asyncio.sleep(0.05)
            if self.up:
                raise Drop()
        return await super().handle(caller, *call)

    async def begin(self, order, caller):
        before = len(self.rig.starts[order["task"]])
        answer = await super().begin(order, caller)
        if len(self.rig.starts[order["task"]]) > before and self.kind != "a":
            self.rig.wrong.append(
                (order["task"], order["run"], self.id,
                 round(time.monotonic() - self.began, 2)))
            self.rig.note("wrong_kind", task=order["task"], worker=self.id)
        return answer

    async def crash(self, kind):
        """All that ran here and all that it knew is gone."""
        self.rig.note("crash", worker=self.id)
        self.up = False
        for _, timer, _, _ in self.running.values():
            timer.cancel()
        self.running.clear()
        self.refused.clear()
        self.ends.clear()
        self.ended = self.last_seen = self.fence = self.lease_ms = 0
        await asyncio.sleep(DARK_S)
        self.kind, self.seq = kind, 0
        self.began, self.born = time.monotonic(), int(time.time() * 1000)
        self.up = True
        self.rig.note("again", worker=self.id, kind=kind)
        await asyncio.sleep(BEAT_S)
        asyncio.create_task(self.beat())


def make_job():
    return {"taskSpec": '{"ms":[[300]]}',
            "steps": [{"count": 8, "cpu": 4000, "memMb": 100,
                       "estimateMs": 300, "requirements": "a"}]}


async def case(rig, trouble):
    rig.wrong = []
    await rig.start_platform(workers=0)
    for number in range(WORKERS):
        worker = KindWorker(rig, number, rig.zones[number % 3])
        rig.workers.append(worker)
        await worker.start()
    await rig.start_hosts()
    await asyncio.sleep(4)
    answers = collections.Counter()

    async def one(number):
        answers[await rig.submit(number % HOSTS, new_job(), make_job())] += 1
    began, number = time.monotonic(), 0
    crashes = [4, 9, 14, 19, 24, 29, 34] if trouble else []
    while time.monotonic() - began < TRAFFIC_S:
        asyncio.create_task(one(number))
        number += 1
        if crashes and time.monotonic() - began > crashes[0]:
            worker = rig.workers[len(crashes)]
            asyncio.create_task(worker.crash("b"))
            crashes.pop(0)
        await asyncio.sleep(1 / JOBS_A_SECOND)
    await asyncio.sleep(5)
    rig.say(f"answers: {dict(answers)}, starts: "
            f"{sum(len(runs) for runs in rig.starts.values())}")
    rig.say(f"ROUTE: {len(rig.wrong)} starts on a worker without the label "
            f"(task, run, worker, seconds since it began): {rig.wrong[:3]}")
    return bool(rig.wrong)


run_case(FOLDER, case, hosts=HOSTS)
