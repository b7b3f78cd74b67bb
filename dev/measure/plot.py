"""Plots the figures that have a goal, naive and ours, by seed."""

from collections.abc import Mapping, Sequence
from pathlib import Path

from matplotlib import pyplot

from dev.measure.figures import FIGURES


def draw_figures(
    naive: Sequence[Mapping[str, float]],
    ours: Sequence[Mapping[str, float]],
    path: Path,
) -> None:
    """Draw one panel per figure; each line connects the runs of a seed."""
    shown = [figure for figure in FIGURES if figure.goal is not None]
    plot, panels = pyplot.subplots(1, len(shown), figsize=(18, 4))
    for figure, panel in zip(shown, panels, strict=True):
        for naive_figures, our_figures in zip(naive, ours, strict=True):
            panel.plot(
                ['naive', 'ours'],
                [naive_figures[figure.name], our_figures[figure.name]],
                marker='o',
                color='tab:blue',
                alpha=0.5,
            )
        panel.set_title(f'{figure.name} ({figure.unit})', fontsize=8)
        panel.set_ylim(bottom=0)
    plot.tight_layout()
    plot.savefig(path)
