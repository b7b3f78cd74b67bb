"""An idle minion starts again; a late hold there outlives the leader's count."""

import asyncio
import itertools
import time
from pathlib import Path

from play import Minion, Node, Play, make_config, run

# One of six minions: a share of 0.167.
MINIONS = 6
LATE_S = 3.0
CUT_S = 5.5
DOWN_S = 0.1
JOB = 'c7a1000000000001'
WORK_MS = 8000


def runs_of(play, job):
    """Return when each run of the job began and ended, and where."""
    runs = {}
    for when, minion, event, task, number in play.events():
        if not task.startswith(job):
            continue
        if event == 'begin':
            runs[minion, task, number] = [when, None]
        else:
            runs[minion, task, number][1] = when
    return runs


def find_overlap(play, job):
    """Return the seconds in which two runs of a task were at work."""
    now = time.time()
    runs = [(b, e or now) for b, e in runs_of(play, job).values()]
    return max(
        (
            min(first[1], second[1]) - max(first[0], second[0])
            for first, second in itertools.combinations(runs, 2)
        ),
        default=0.0,
    )


async def script():
    play = Play(Path(__file__).parent, max_hold_ms=6000, stop_ms=900)
    zones = ('zone-a', 'zone-b', 'zone-c')
    play.nodes = [Node(play, f'node-{n}', zones[n]) for n in range(3)]
    for n in range(MINIONS):
        kind = 'b' if n < 2 else 'a'
        labels = [kind, 'rack-0']
        play.minions.append(Minion(play, f'm{n}', zones[n % 3], labels))
    is_broken, verdict = False, 'the rule held'
    try:
        await play.start(make_config())
        for node in play.nodes:
            await play.wait_until_ready(node)
        await asyncio.sleep(10)
        # Other work: long tasks on the minions of kind a.
        other = {
            'count': MINIONS - 2,
            'cpu': 13_000,
            'mem-mb': 19_000,
            'gpu': 8,
            'required-label': 'a',
        }
        await play.call(
            'POST',
            'c7b1000000000001',
            body={'spec': '40000', 'steps': [other]},
        )
        # A job on one of the two of kind b; the other one stays idle.
        step = {**other, 'count': 1, 'required-label': 'b'}
        await play.call(
            'POST', 'c7b1000000000002', body={'spec': '5000', 'steps': [step]}
        )
        begun = await play.wait_for_event('c7b1000000000002', 'begin', 5)
        if begun is None:
            raise RuntimeError('the first job did not start')
        idle = next(m for m in play.minions[:2] if m.id != begun[1])
        await asyncio.sleep(3)
        if play.has_trouble:
            idle.trouble = ('hold', str(LATE_S), str(CUT_S))
            # It writes its entry soon after it is up.
            idle.first_entry_s = 0.5
            idle.crash()
            await idle.process.wait()
            await asyncio.sleep(DOWN_S)
            await idle.start(keeps_id=True)
        status, _ = await play.call(
            'POST', JOB, body={'spec': str(WORK_MS), 'steps': [step]}
        )
        begun = await play.wait_for_event(JOB, 'begin', 5)
        if status != 200 or begun is None or begun[1] != idle.id:
            raise RuntimeError(f'the job did not start on {idle.id}: {begun}')
        await asyncio.sleep(20)
        calls = play.calls(begun[0] - 2.75, begun[0] + 2.75)
        play.record(f'{calls} calls reached minions in the 5.5 s around')
        overlap_s = find_overlap(play, JOB)
        if overlap_s > 0:
            is_broken = True
            verdict = (
                'TWICE broken: two runs of one task at work at the same time'
                f' for {overlap_s:.2f} s'
            )
    finally:
        await play.stop()
    play.finish(is_broken, verdict)


run(script())
