"""Plots of reports, drawn with matplotlib."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from chicorylead.errors import ErrorKind, Refusal

__all__ = ["draw_bars", "draw_lines"]

DPI = 120


def _pyplot() -> Any:
    try:
        import matplotlib
    except ImportError:
        raise Refusal(
            ErrorKind.BAD_REQUEST, "plots need matplotlib; pip install matplotlib"
        ) from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot


def draw_bars(
    path: Path,
    title: str,
    y_label: str,
    labels: Sequence[str],
    series: Mapping[str, Sequence[float]],
    limit: float | None = None,
) -> None:
    """Write a bar chart with one group of bars for each label.

    Args:
        path: PNG file to write.
        title: Title of the chart.
        y_label: Label of the y axis.
        labels: Names of the groups.
        series: Bar heights, one per group, by name of the series.
        limit: Height of a horizontal reference line; None draws no line.
    """
    pyplot = _pyplot()
    width = max(6.0, 0.9 * len(labels))
    fig, axes = pyplot.subplots(figsize=(width, 4.5))
    bar_width = 0.8 / max(1, len(series))
    for number, (name, heights) in enumerate(series.items()):
        positions = [i + number * bar_width for i in range(len(labels))]
        axes.bar(positions, heights, bar_width, label=name)
    if limit is not None:
        axes.axhline(limit, color="black", linewidth=1, linestyle="--")
    axes.set_xticks([i + 0.4 - bar_width / 2 for i in range(len(labels))])
    axes.set_xticklabels(labels, rotation=60, ha="right", fontsize=7)
    _save(pyplot, fig, axes, path, title, y_label)


def draw_lines(
    path: Path,
    title: str,
    y_label: str,
    x_label: str,
    x: Sequence[float],
    series: Mapping[str, Sequence[float]],
) -> None:
    """Write a line chart with one line for each series.

    Args:
        path: PNG file to write.
        title: Title of the chart.
        y_label: Label of the y axis.
        x_label: Label of the x axis.
        x: Positions of the points on the x axis.
        series: Values at these positions, by name of the series.
    """
    pyplot = _pyplot()
    fig, axes = pyplot.subplots(figsize=(9.0, 4.5))
    for name, values in series.items():
        axes.plot(x, values, label=name, linewidth=1.2)
    axes.set_xlabel(x_label)
    _save(pyplot, fig, axes, path, title, y_label)


def _save(
    pyplot: Any, fig: Any, axes: Any, path: Path, title: str, y_label: str
) -> None:
    axes.set_title(title, fontsize=10)
    axes.set_ylabel(y_label)
    axes.legend(fontsize=7)
    fig.tight_layout()
    fig.savefig(path, dpi=DPI)
    pyplot.close(fig)
