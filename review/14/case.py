"""One job of many steps makes a record that the store refuses for good."""

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / '11' / 'standins'))

from small import FINISH_S, Caller, Record, Small, has_trouble  # noqa: E402

TRAFFIC_S = 34.0
STEPS = 20_000
JOBS = 12
EVERY_S = 2.0


def make_body():
    """Many steps of one small task each."""
    steps = [{'count': 1}] * STEPS
    text = json.dumps({'spec': '0.2', 'steps': steps}, separators=(',', ':'))
    return text.encode()


async def hand_in_large(small):
    """Hand in the large jobs, one every EVERY_S, each once."""
    async with asyncio.TaskGroup() as tasks:
        for number in range(JOBS):
            tasks.create_task(
                small.ask(
                    'POST', f'ee{number:014x}', number % 3, body=make_body(),
                    key='key-2',
                )
            )
            await asyncio.sleep(EVERY_S)


async def run(record):
    async with Small(record) as small:
        watcher = asyncio.create_task(small.watch_nodes())
        caller = Caller(small)
        traffic = asyncio.create_task(caller.run(TRAFFIC_S, 0.06))
        await asyncio.sleep(6)
        if has_trouble():
            await hand_in_large(small)
        await traffic
        record('traffic ended; waiting finish_s')
        await asyncio.sleep(FINISH_S)
        record('free share of the workers:', round(small.free_share(), 3))
        lost = await caller.find_lost()
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
        return bool(lost)


async def main():
    record = Record(HERE / 'record.txt')
    try:
        is_broken = await run(record)
    except Exception as exc:
        record('could not run:', repr(exc))
        raise SystemExit(2) from exc
    raise SystemExit(1 if is_broken else 0)


asyncio.run(main())
