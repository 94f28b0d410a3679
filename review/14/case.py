"""A client leaves, cancels its job (410), and the job runs afterwards."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
from rig import new_job, run_case  # noqa: E402

HOSTS = 3
FREEZE_S = 3.9    # node_freeze: for_s 4
LEAVE_S = 1.2     # give_up: half the objective, which is 2.5 s
CANCEL_MS = 3000  # bounds.cancel_ms
CONTACT_MS = 3000
STEPS = 12


def make_job():
    """Twelve steps of a second, one after the other."""
    steps = [{"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 1000}]
    for step in range(1, STEPS):
        steps.append({**steps[0], "after": [step - 1]})
    return {"taskSpec": '{"ms":[%s]}' % ",".join(["[1000]"] * STEPS),
            "steps": steps}


async def case(rig, trouble):
    await rig.start_platform(workers=3)
    await rig.start_hosts()
    await asyncio.sleep(4)
    if trouble:
        rig.signal(0, signal.SIGSTOP)
    frozen = time.monotonic()
    cancelled = {}

    async def one(number):
        job = new_job()
        await asyncio.sleep(0.05 * number)
        status = await rig.submit(0, job, make_job(), timeout=LEAVE_S)
        answer = await rig.cancel(1 + number % 2, job)
        if answer in (200, 410):
            cancelled[job] = (status, answer, time.monotonic())
    await asyncio.gather(*(one(number) for number in range(20)))
    rig.say("submission, cancel: " + str(sorted(
        {(str(status), answer) for status, answer, _ in cancelled.values()})))
    await asyncio.sleep(frozen + FREEZE_S - time.monotonic())
    thawed = time.monotonic()
    if trouble:
        rig.signal(0, signal.SIGCONT)
    await asyncio.sleep(15)
    starts = [(task, run, when) for task, runs in rig.starts.items()
              for when, run in runs if task.split(".")[0] in cancelled]
    broken = [(task, run, round(when - cancelled[task.split(".")[0]][2], 1))
              for task, run, when in starts
              if when > cancelled[task.split(".")[0]][2] + CANCEL_MS / 1000
              and when > thawed + CONTACT_MS / 1000]
    rig.say(f"UNASKED: {len(broken)} starts over {CANCEL_MS} ms after the "
            f"acknowledgement of the cancel, by machines in touch (task, run, "
            f"seconds after it): {broken[:4]}")
    return bool(broken)


run_case(FOLDER, case, hosts=HOSTS)
