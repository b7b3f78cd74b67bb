"""Fifty small requests fill the memory of every machine in turn."""

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / '11' / 'standins'))

from small import FINISH_S, Caller, Record, Small, has_trouble  # noqa: E402

TRAFFIC_S = 34.0
JOBS = 50
TASKS = 20_000


def make_body():
    """One step of many tasks, each as small as a task may be."""
    step = {'count': TASKS, 'cpu': 1000, 'mem-mb': 100, 'gpu': 1}
    return json.dumps({'spec': '0.2', 'steps': [step]}).encode()


async def hand_in_large(small):
    """Hand in the large jobs, one after the other; each a few times."""
    accepted = 0
    for number in range(JOBS):
        for attempt in range(5):
            status, _ = await small.ask(
                'POST', f'ee{number:014x}', attempt % 3, body=make_body(),
                key='key-2',
            )
            if status == 200:
                accepted += 1
                break
    small.record('large jobs accepted:', accepted)


async def run(record):
    async with Small(record) as small:
        watcher = asyncio.create_task(small.watch_nodes())
        caller = Caller(small)
        traffic = asyncio.create_task(caller.run(TRAFFIC_S, 0.5))
        await asyncio.sleep(6)
        if has_trouble():
            large = asyncio.create_task(hand_in_large(small))
        await traffic
        record('traffic ended; waiting finish_s')
        await asyncio.sleep(FINISH_S)
        record('free share of the workers:', round(small.free_share(), 3))
        lost = await caller.find_lost()
        if has_trouble():
            large.cancel()
        small.is_watching = False
        await watcher
        for job, why in sorted(lost.items()):
            record('LOST', job, why)
        record(
            'accepted', len(caller.accepted), 'of', caller.count,
            'never answered', caller.unanswered, 'lost', len(lost),
        )
        record('killed over memory-mb:', small.kills, 'ended:', small.ends)
        print(
            f'killed over memory-mb {small.kills}, ended {small.ends}, '
            f'accepted {len(caller.accepted)} of {caller.count}, '
            f'never answered {caller.unanswered}, lost {len(lost)}'
        )
        over = [name for name, kills in small.kills.items() if kills >= 3]
        return len(over) >= 2


async def main():
    record = Record(HERE / 'record.txt')
    try:
        is_broken = await run(record)
    except Exception as exc:
        record('could not run:', repr(exc))
        raise SystemExit(2) from exc
    raise SystemExit(1 if is_broken else 0)


asyncio.run(main())
