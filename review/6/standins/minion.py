"""Stand-in for one life of a minion, as PROTOCOL.md describes it.

python3 minion.py ID PORT LOG STOP_MS MAX_HOLD_MS [CALL LATE_S CUT_S]

It is killed to crash it. With the last three, one call is not answered and is
carried out LATE_S later (0: never): its first start (CALL is start), or the first hold
after that (hold). From that call on it is cut off for CUT_S: others are lost. A task's spec is its work in milliseconds. Each
start and each end of a run is one line of LOG: Unix time, minion, event, task,
run.
"""

import asyncio
import json
import sys
import time

from aiohttp import web

ENDS_AT_A_TIME = 500


class Minion:
    """Runs tasks under one lease."""

    def __init__(self, name, log_path, stop_ms, max_hold_ms, *trouble):
        self.name = name
        self.log_path = log_path
        self.stop_s = stop_ms / 1000 / 2
        self.max_hold_ms = max_hold_ms
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.fence = 0
        self.lease_end_ms = 0
        self.running = {}
        self.ended = []
        self.last_number = 0
        # Highest run of each task that was stopped or has ended here.
        self.closed = {}
        self.has_ended_one = asyncio.Event()
        # The call that is carried out late, and the cut that follows it.
        call, late_s, cut_s = trouble or ('', 0, 0)
        self.late_call = call
        self.late_s = float(late_s)
        self.cut_s = float(cut_s)
        self.cut_until = 0.0

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def log(self, event, task, run):
        with open(self.log_path, 'a', encoding='utf-8') as log:
            log.write(f'{time.time():.3f} {self.name} {event} {task} {run}\n')

    def answer(self, status=200, **fields):
        return web.json_response(
            {'clock-ms': self.clock_ms(), 'born': self.born, **fields},
            status=status,
        )

    async def check(self, request):
        """Return the body, or the refusal of a call that is not for it."""
        expected = request.headers.get('X-Expect-Instance', self.name)
        if expected != self.name:
            return None, self.answer(421)
        body = await request.json()
        if body.get('fence', 0) < self.fence:
            return None, self.answer(409, reason='fence')
        self.fence = body.get('fence', 0)
        return body, None

    def extend_lease(self, body):
        if 'deadline-ms' in body:
            latest = self.clock_ms() + self.max_hold_ms
            end = min(body['deadline-ms'], latest)
            self.lease_end_ms = max(self.lease_end_ms, end)

    async def lose_if_cut(self):
        """Count a call; keep it until its sender gives up if it is lost."""
        calls = self.log_path.rpartition('.')[0] + '.calls'
        with open(calls, 'a', encoding='utf-8') as log:
            log.write(f'{time.time():.3f}\n')
        while time.monotonic() < self.cut_until:
            await asyncio.sleep(60)

    async def start(self, request):
        await self.lose_if_cut()
        if self.late_call == 'start':
            await self.carry_out_late(await request.json())
        body, refusal = await self.check(request)
        if refusal is not None:
            return refusal
        return self.begin(body)

    def begin(self, body):
        """Carry out a start."""
        task, run = body['task'], body['run']
        if (task, run) in self.running:
            return self.answer()
        if body['deadline-ms'] < self.clock_ms():
            return self.answer(409, reason='late')
        self.extend_lease(body)
        if run <= self.closed.get(task, 0):
            return self.answer(409, reason='old')
        self.running[task, run] = [time.monotonic(), int(body['spec']) / 1000]
        self.log('begin', task, run)
        return self.answer()

    async def stop(self, request):
        await self.lose_if_cut()
        body, refusal = await self.check(request)
        if refusal is not None:
            return refusal
        task, run = body['task'], body['run']
        self.closed[task] = max(self.closed.get(task, 0), run)
        asyncio.get_running_loop().call_later(
            self.stop_s, self.finish, (task, run), 'stopped'
        )
        return self.answer()

    async def hold(self, request):
        await self.lose_if_cut()
        if self.late_call == 'hold' and self.running:
            await self.carry_out_late(await request.json())
        body, refusal = await self.check(request)
        if refusal is not None:
            return refusal
        self.extend_lease(body)
        acked = body.get('acked-through', 0)
        self.ended = [row for row in self.ended if row[0] > acked]
        ends_at = time.monotonic() + body.get('wait-ms', 0) / 1000
        while not self.ended and time.monotonic() < ends_at:
            self.has_ended_one.clear()
            try:
                await asyncio.wait_for(
                    self.has_ended_one.wait(), ends_at - time.monotonic()
                )
            except TimeoutError:
                break
        now = time.monotonic()
        rows = [
            [task, run, '', min(99, int(100 * (now - began) / work)), 20]
            for (task, run), (began, work) in self.running.items()
        ]
        return self.answer(running=rows, ended=self.ended[:ENDS_AT_A_TIME])

    async def carry_out_late(self, body):
        """Carry a call out late or never, unanswered, and be cut off."""
        call, self.late_call = self.late_call, ''
        self.cut_until = time.monotonic() + self.cut_s
        self.log(f'late-{call}-arrives', '-', 0)
        loop = asyncio.get_running_loop()
        if self.late_s:
            loop.call_later(self.late_s, self.act_late, call, body)
        await asyncio.sleep(60)

    def act_late(self, call, body):
        if body.get('fence', 0) < self.fence:
            self.log(f'late-{call}-refused', '-', 0)
        elif call == 'hold':
            self.extend_lease(body)
            self.log('late-hold-done', '-', 0)
        else:
            answer = self.begin(body)
            self.log(f'late-start-{answer.status}', '-', 0)

    async def pace(self, request):
        await self.lose_if_cut()
        _, refusal = await self.check(request)
        return refusal or self.answer()

    def finish(self, key, how):
        if self.running.pop(key, None) is None:
            return
        task, run = key
        self.closed[task] = max(self.closed.get(task, 0), run)
        self.last_number += 1
        self.ended.append([self.last_number, task, run, how, ''])
        self.log(how, task, run)
        self.has_ended_one.set()

    async def work(self):
        """End what is done, and everything when the lease is over."""
        while True:
            await asyncio.sleep(0.005)
            has_lapsed = self.clock_ms() > self.lease_end_ms
            for key, (began, work) in list(self.running.items()):
                if has_lapsed:
                    self.finish(key, 'lapsed')
                elif time.monotonic() - began >= work:
                    self.finish(key, 'done')


async def main():
    name, port, log_path, stop_ms, max_hold_ms, *trouble = sys.argv[1:]
    minion = Minion(name, log_path, int(stop_ms), int(max_hold_ms), *trouble)
    app = web.Application()
    app.router.add_post('/api/run-start', minion.start)
    app.router.add_post('/api/run-stop', minion.stop)
    app.router.add_post('/api/hold', minion.hold)
    app.router.add_post('/api/pace', minion.pace)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', int(port)).start()
    # Tells the script when this life began.
    print(json.dumps({'born': minion.born}), flush=True)
    await minion.work()


if __name__ == '__main__':
    asyncio.run(main())
