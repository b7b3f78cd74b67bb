"""One request of a client that nobody controls stops all scheduling."""

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / '11' / 'standins'))

from small import FINISH_S, Caller, Record, Small, has_trouble  # noqa: E402

TRAFFIC_S = 28.0
TASKS = 19_000
ENTRIES = 60_000


def make_body():
    """A quick step, and one of many tasks that names it many times."""
    task = {'cpu': 1000, 'mem-mb': 100, 'gpu': 1}
    steps = [
        {'count': 1, **task},
        {'count': TASKS, **task, 'after': [0] * ENTRIES},
    ]
    text = json.dumps({'spec': '0.2', 'steps': steps}, separators=(',', ':'))
    return text.encode()


async def run(record):
    async with Small(record) as small:
        watcher = asyncio.create_task(small.watch_nodes())
        caller = Caller(small)
        traffic = asyncio.create_task(caller.run(TRAFFIC_S, 0.5))
        await asyncio.sleep(6)
        if has_trouble():
            await small.ask(
                'POST', 'ee' * 8, 0, body=make_body(), key='key-2'
            )
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
        print(
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
