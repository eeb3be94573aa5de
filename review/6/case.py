"""Work units run twice at a time after a runner's silent restart under its id."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_2"))
import platform_stand_in as stand_in

JOB = "00000000000000a2"
DOWN_S = 0.5
COUNT = 8


async def play(case):
    await case.begin([("/gates/", "gates", {})], [("gates", {})])
    for number in range(7):
        await case.add_runner(f"i-{number}", "gates")
    await case.start_instances()
    await asyncio.sleep(2.5)
    # Among equal runners the program takes the first one.
    first = case.runners[0]
    if case.trouble:
        ip, port = first.address.split(":")
        first.crash(dark=True)
        await asyncio.sleep(DOWN_S)
        await first.start(ip, int(port))
        case.record.add("runner started again", runner=first.id, born=first.born)
    steps = [{"count": COUNT, "cpu": 1000, "mem-mb": 100, "est-ms": 900}]
    status, _ = await case.submit("/gates/", JOB, steps, {"ms": 900})
    if status != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(6)
    await case.call(case.instances[1].front, "GET", "/gates/" + JOB)
    return twice(case)


def twice(case):
    """Returns the work units of the job of which two runs lived at the same time on runners that
    are up."""
    alive, found = {}, {}
    for at, what, row in case.record.rows:
        if what == "run started":
            others = alive.setdefault(row["task"], {})
            if others and row["task"] not in found:
                found[row["task"]] = (at, row["run"], row["runner"], dict(others))
            others[(row["runner"], row["run"])] = at
        elif what == "run ended":
            alive.get(row["task"], {}).pop((row["runner"], row["run"]), None)
        elif what == "runner crashed":
            for runs in alive.values():
                for key in [key for key in runs if key[0] == row["runner"]]:
                    del runs[key]
    if not found:
        return ""
    task, (at, run, runner, others) = sorted(found.items())[0]
    first = "; ".join(f"run {number} on {name} since {since} s" for (name, number), since in others.items())
    return f"{len(found)} work units ran twice at a time: {task}: run {run} on {runner} at {at} s beside {first}"


stand_in.play(play, HERE)
