"""Measures the cost of one control daemon by workers and running tasks.

Each size runs long jobs; it is measured after the load has settled.
"""

import asyncio
import subprocess
from pathlib import Path

import numpy
from absl import app, flags

from dev.capacity_bench import Cost, running_bench
from dev.capacity_page import Fit, make_page
from dev.capacity_sizes import measure_sizes

WORKER_COUNTS = flags.DEFINE_list(
    'workers', ['8', '32', '96'], 'Numbers of workers of the control daemon.'
)
TASK_COUNTS = flags.DEFINE_list(
    'tasks_per_worker',
    ['0', '8', '24'],
    'Numbers of running tasks on each worker.',
)
WATCH_S = flags.DEFINE_float(
    'watch_s', 8, 'Seconds that each size is measured.'
)
REPORT = flags.DEFINE_string(
    'report', 'reports/capacity.md', 'File for the table.'
)
PAGE = flags.DEFINE_string(
    'page', 'docs/CAPACITY-DAEMONS.md', 'File for the capacity page.'
)
START_S = 3


async def _measure() -> list[Cost]:
    costs = []
    for workers in map(int, WORKER_COUNTS.value):
        for per_worker in map(int, TASK_COUNTS.value):
            tasks = workers * per_worker
            async with running_bench(workers) as bench:
                await asyncio.sleep(START_S)
                await bench.run_tasks(tasks)
                costs.append(await bench.measure(workers, tasks, WATCH_S.value))
            print(costs[-1])
    return costs


def fit(costs: list[Cost], field: str) -> Fit:
    """Fit one field of ``costs`` linearly to workers and tasks."""
    sizes = numpy.array([[1, cost.workers, cost.tasks] for cost in costs])
    measured = numpy.array([getattr(cost, field) for cost in costs])
    factors = numpy.linalg.lstsq(sizes, measured, rcond=None)[0]
    max_error = numpy.abs(sizes @ factors - measured).max()
    return Fit(*map(float, factors), float(max_error))


def _format_table(costs: list[Cost]) -> str:
    lines = [
        '| workers | tasks | CPU % | worker kB/s | resident MB | calls/s |',
        '|---|---|---|---|---|---|',
    ]
    lines.extend(
        f'| {cost.workers} | {cost.tasks} | {cost.cpu_percent:.1f} '
        f'| {cost.worker_kb_s:.1f} | {cost.resident_mb:.1f} '
        f'| {cost.platform_calls_s:.1f} |'
        for cost in costs
    )
    lines.extend(
        [
            '',
            '| quantity | fixed | per worker | per task | largest error |',
            '|---|---|---|---|---|',
        ]
    )
    for field in Cost._fields[2:]:
        fixed, worker, task, max_error = fit(costs, field)
        lines.append(
            f'| {field} | {fixed:.2f} | {worker:.4f} | {task:.5f} '
            f'| {max_error:.2f} |'
        )
    return '\n'.join([*lines, ''])


def main(_arguments: list[str]) -> None:
    """Measure each size; writes the report and the capacity page."""
    costs = asyncio.run(_measure())
    table = _format_table(costs)
    print(table)
    report = Path(REPORT.value)
    report.parent.mkdir(exist_ok=True)
    report.write_text(f'# Cost of a control\n\n{table}', encoding='utf-8')
    fits = {field: fit(costs, field) for field in Cost._fields[2:]}
    page = make_page(fits, measure_sizes(), table, _read_commit())
    Path(PAGE.value).write_text(page, encoding='utf-8')


def _read_commit() -> str:
    return subprocess.run(
        ('git', 'rev-parse', '--short', 'HEAD'),
        capture_output=True,
        check=True,
        text=True,
    ).stdout.strip()


if __name__ == '__main__':
    app.run(main)
