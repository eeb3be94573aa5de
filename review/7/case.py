"""A wave that cannot go on keeps its runners from all other work for as long as it waits."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_2"))
import platform_stand_in as stand_in

KINDS = {"m-0": "a", "m-1": "a", "m-2": "a", "m-3": "a", "m-4": "b", "m-5": "b", "m-6": "b"}
LOST = "m-3"
WAVE = ["m-4", "m-5", "m-6"]
LASTING, BATCH = "00000000000000f1", "00000000000000f2"
FINISH_S = stand_in.BOUNDS["finish_s"]


async def play(case):
    await case.begin([("/watch/", "gates", {}), ("/tally/", "gates", {})], [("gates", {})],
                     cloud=True)
    lives = {}

    async def add(name):
        lives[name] = lives.get(name, 0) + 1
        return await case.add_runner(f"i-{name}-{lives[name]}", "gates", machine=name,
                                     labels=[KINDS[name], "r1-1"])

    for name in KINDS:
        runner = await add(name)
        capacity = {"cpu": runner.cpu, "mem-mb": runner.mem, "gpu": 0}
        case.cloud.add(name, "gates", runner, runner.labels, capacity)

    async def joins(machine):
        await case.store.remove(f"servers/{machine['runner'].id}")
        machine["runner"] = await add(machine["machine"])

    case.cloud.on_end = joins
    await case.start_instances()
    await asyncio.sleep(3)
    steps = [{"count": len(KINDS), "cpu": 1000, "mem-mb": 100, "est-ms": 1000,
              "long-running": True, "may-miss": 1, "max-per-server": 1}]
    status, _ = await case.submit("/watch/", LASTING, steps, {})
    if status != 200 or not await case.wait_for(lambda: len(case.started(LASTING)) == len(KINDS), 5):
        raise RuntimeError("the lasting job did not start")
    await asyncio.sleep(2)
    if case.trouble:
        case.record.add("runner lost for good", machine=LOST)
        case.cloud.machines[LOST]["runner"].crash()
    await asyncio.sleep(8)
    wave = {"wave": 1, "machines": WAVE, "duration-s": 26, "max-count": 1}
    await case.store.put("op/wave/1", wave)
    case.record.add("wave", **wave)
    await asyncio.sleep(2)
    steps = [{"count": 1, "cpu": 1000, "mem-mb": 100, "est-ms": 500, "required-label": "b"}]
    status, _ = await case.submit("/tally/", BATCH, steps, {"ms": 500})
    if status != 200:
        raise RuntimeError("the job was not accepted")
    case.record.add("end of the traffic")
    accepted = case.record.now()
    await asyncio.sleep(FINISH_S)
    for instance in case.instances:
        await case.call(instance.front, "GET", "/tally/" + BATCH)
    await asyncio.sleep(25)
    for instance in case.instances:
        await case.call(instance.front, "GET", "/tally/" + BATCH)
    used = {runner.id: runner.used()[0] for runner in case.runners if runner.up}
    case.record.add("processor time in use of 64000 each", **used)
    begun = [at for at, _ in case.started(BATCH)]
    if not begun:
        return f"the job has not started {case.record.now() - accepted:.0f} s after it was accepted, beside idle runners"
    if begun[0] - accepted > FINISH_S + 3:
        return f"the job started {begun[0] - accepted:.0f} s after it was accepted, beside idle runners"
    return ""


stand_in.play(play, HERE)
