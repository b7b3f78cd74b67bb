"""One wide gang that fits makes each leader exceed its memory in turn."""

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / '11' / 'standins'))

from small import FINISH_S, Caller, Record, Small, has_trouble  # noqa: E402

TRAFFIC_S = 28.0
TASKS = 2_000


def make_body():
    """One step whose tasks work only together; all fit on the workers."""
    step = {'count': TASKS, 'cpu': 10, 'mem-mb': 1, 'gang': True}
    return json.dumps({'spec': '1', 'steps': [step]}).encode()


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
        record('killed over memory-mb:', small.kills, 'ended:', small.ends)
        record(
            'accepted', len(caller.accepted), 'of', caller.count,
            'never answered', caller.unanswered, 'lost', len(lost),
        )
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
