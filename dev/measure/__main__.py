"""Compares the scheduling pass with the naive scheduler: ``make measure``."""

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from absl import app, flags

from bulrushcove import naive_scheduler, scheduling_pass
from dev.measure.figures import compute_figures, format_table
from dev.measure.packing_gap import describe_packing_gap
from dev.measure.plot import draw_figures
from dev.measure.replay import Replay, SchedulerVariant
from dev.measure.speed import REPEATS, TASKS, format_speed_table, measure_speed

SEED = flags.DEFINE_integer('seed', 1, 'First seed of the generated arrivals.')
SEEDS = flags.DEFINE_integer('seeds', 10, 'Number of seeds.')
LOAD = flags.DEFINE_float('load', 0.8, 'Factor for the arrival rate.')
PROCESSES = flags.DEFINE_integer(
    'processes', 3, 'Number of concurrent replays.'
)
REPORTS = flags.DEFINE_string('reports', 'reports', 'Directory to write to.')

Figures = dict[str, float]


def measure_seed(seed: int, load: float) -> tuple[Figures, Figures]:
    """Return the figures of the naive scheduler and of ours."""
    naive = SchedulerVariant(
        'naive', naive_scheduler.plan, has_safeguards=False
    )
    ours = SchedulerVariant('ours', scheduling_pass.plan, has_safeguards=True)
    return (
        compute_figures(Replay(naive, seed, load).run()),
        compute_figures(Replay(ours, seed, load).run()),
    )


def main(_argv: list[str]) -> None:
    """Replay all seeds, time single decisions, and write the report."""
    first = SEED.value
    seeds = range(first, first + SEEDS.value)
    loads = [LOAD.value for _ in seeds]
    with ProcessPoolExecutor(PROCESSES.value) as pool:
        pairs = list(pool.map(measure_seed, seeds, loads))
    naive_figures = [pair[0] for pair in pairs]
    our_figures = [pair[1] for pair in pairs]
    text = (
        f'# Comparison: naive and ours, seeds {seeds[0]} to {seeds[-1]}, '
        f'load {LOAD.value}\n\n'
        'Mean (minimum to maximum) over the seeds; the ratio is of the means, '
        'in brackets the median of the ratios by seed.\n\n'
        f'{format_table(naive_figures, our_figures)}\n\n'
        f'## Time of scheduling decisions, {TASKS} running tasks\n\n'
        f'Minimum of {REPEATS} runs.\n\n'
        f'{format_speed_table(measure_speed())}\n\n'
        f'## Packing\n\n{describe_packing_gap(first)}\n'
    )
    print(text)
    reports = Path(REPORTS.value)
    reports.mkdir(exist_ok=True)
    (reports / 'measure.md').write_text(text)
    draw_figures(naive_figures, our_figures, reports / 'measure.png')


if __name__ == '__main__':
    app.run(main)
