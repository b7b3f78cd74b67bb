"""A leader that was suspended sends a start to a minion that started again."""

import asyncio
import base64
import itertools
import signal
import time
from pathlib import Path

from play import Minion, Node, Play, make_config, run

# One of six minions: a share of 0.167.
MINIONS = 6
# The bench freezes one of seven for its share of 0.1.
NODES = 7
CUT_S = 1.5
DOWN_S = 0.1
JOB = 'c6a1000000000001'
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


def find_leader(play):
    """Return the node that the leader's record in the store names."""
    for key, item in play.store.items.items():
        value = base64.b64decode(item['value'])
        if item['lease'] == 0 or not key.startswith('bulrushcove/'):
            continue
        for node in play.nodes:
            if f'127.0.0.1:{node.ports[2]}'.encode() in value:
                return node
    raise RuntimeError('no node leads')


async def wait_for(found, limit_s, what):
    ends_at = time.monotonic() + limit_s
    while time.monotonic() < ends_at:
        if found():
            return
        await asyncio.sleep(0.002)
    raise RuntimeError(f'not seen in {limit_s} s: {what}')


async def script():
    play = Play(Path(__file__).parent, max_hold_ms=10_000, stop_ms=400)
    zones = ('zone-a', 'zone-b', 'zone-c')
    play.nodes = [
        Node(play, f'node-{n}', zones[n % 3]) for n in range(NODES)
    ]
    for n in range(MINIONS):
        # One of kind c, one of kind b, the others of kind a.
        labels = ['cbaaaa'[n], 'rack-0']
        play.minions.append(Minion(play, f'm{n}', zones[n % 3], labels))
    second, first = play.minions[:2]
    if play.has_trouble:
        first.trouble = ('start', '0', str(CUT_S))
    is_broken, verdict = False, 'the rule held'
    try:
        await play.start(make_config())
        for node in play.nodes:
            await play.wait_until_ready(node)
        await asyncio.sleep(10)
        half = {'count': 1, 'cpu': 6000, 'mem-mb': 9000, 'gpu': 4}
        for job, spec, step in (
            # Fills the minions of kind a, and half of the one of kind c.
            ('c6b1000000000001', '40000',
             {**half, 'count': MINIONS - 2, 'gpu': 8, 'required-label': 'a'}),
            ('c6b1000000000002', '40000', {**half, 'required-label': 'c'}),
            # Fills its other half for a moment, so that the job starts on the
            # minion of kind b.
            ('c6b1000000000003', '500', {**half, 'required-label': 'c'}),
        ):
            await play.call(
                'POST', job, body={'spec': spec, 'steps': [step]}
            )
            begun = await play.wait_for_event(job, 'begin', 3)
            if begun is None:
                raise RuntimeError(f'job {job} did not start')
        leader = find_leader(play)
        others = [n for n, node in enumerate(play.nodes) if node is not leader]
        status, _ = await play.call(
            'POST',
            JOB,
            node=others[0],
            body={'spec': str(WORK_MS), 'steps': [half]},
        )
        if status != 200:
            raise RuntimeError('the job was not taken')
        if play.has_trouble:
            await wait_for(
                lambda: any(e[2] == 'late-start-arrives' for e in play.events()),
                2,
                'the start that is lost in the cut',
            )
            leader.process.send_signal(signal.SIGSTOP)
            play.record(f'{leader.name}, the leader, is suspended')
            await wait_for(
                lambda: any(
                    e[1] == second.id and e[2] == 'begin' and e[3][:16] == JOB
                    for e in play.events()
                ),
                8,
                'the next leader starts the task on the other minion',
            )
            first.trouble = ()
            # It writes its entry soon after it is up.
            first.first_entry_s = 0.5
            first.crash()
            await first.process.wait()
            await asyncio.sleep(DOWN_S)
            await first.start(keeps_id=True)
            leader.process.send_signal(signal.SIGCONT)
            play.record(f'{leader.name} goes on')
        await asyncio.sleep(14)
        overlap_s = find_overlap(play, JOB)
        if overlap_s > 0:
            is_broken = True
            verdict = (
                'TWICE broken: two runs of one task at work at the same time'
                f' for {overlap_s:.2f} s, the one started by a leader that'
                ' had been replaced'
            )
    finally:
        await play.stop()
    play.finish(is_broken, verdict)


run(script())
