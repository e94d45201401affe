"""The plots of the page as SVG."""

import io
import math
from collections.abc import Callable, Sequence
from typing import Any

import matplotlib as mpl
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure

from spindle_decisions.account.day import format_time_of_day
from spindle_decisions.account.group_page import GroupPage
from spindle_decisions.account.latency_figures import BARS_PER_DOUBLING
from spindle_decisions.account.page_window import PageWindow
from spindle_decisions.account.series_point import SeriesPoint
from spindle_decisions.util.units import US_PER_MS

WIDTH_INCHES = 9.0
HEIGHT_INCHES = 2.4
MS_PER_HOUR = 3_600_000
HOURS_PER_POINT = 1 / 6
HOURS_PER_TICK = 3
PER_CENT = 100
COLOR_WHOLE = "#2a6f97"
COLOR_OTHER = "#c1553b"
COLOR_GAP = "#d9d9d9"
SVG_SETTINGS = {"svg.hashsalt": "spindle", "svg.fonttype": "none", "font.size": 9}


def latency_plot(group: GroupPage) -> str:
    """Plot the latency distribution: whole answers, with all other outcomes stacked on top."""
    figure, axes = _figure()
    labels = [_bar_label(bar.up_to_us) for bar in group.latency]
    positions = list(range(len(labels)))
    whole = [bar.whole for bar in group.latency]
    other = [bar.other for bar in group.latency]
    axes.bar(positions, whole, color=COLOR_WHOLE, label="whole answer")
    axes.bar(positions, other, bottom=whole, color=COLOR_OTHER, label="any other end")
    axes.set_xticks(positions, labels, rotation=60)
    axes.set_xlabel("ended within (ms)")
    axes.set_ylabel("requests")
    _mark_target(axes, group)
    axes.legend(frameon=False)
    return _svg(figure)


def success_rate_plot(group: GroupPage, window: PageWindow) -> str:
    """Plot the share of whole answers within the target over the day."""
    return _time_series_plot(group, window, "whole and in time (%)", lambda point: point.good_share)


def coverage_plot(group: GroupPage, window: PageWindow) -> str:
    """Plot the mean coverage over the day."""
    return _time_series_plot(group, window, "coverage (%)", lambda point: point.coverage)


def added_load_plot(group: GroupPage, window: PageWindow) -> str:
    """Plot the added load over the day."""
    return _time_series_plot(group, window, "added load (%)", lambda point: point.added_load)


def _time_series_plot(
    group: GroupPage,
    window: PageWindow,
    label: str,
    value_of: Callable[[SeriesPoint], float | None],
) -> str:
    figure, axes = _figure()
    hours = [(point.from_ms - window.from_ms) / MS_PER_HOUR for point in group.series]
    values = [_per_cent(value_of(point)) for point in group.series]
    for hour, point in zip(hours, group.series, strict=True):
        if point.gap:
            axes.axvspan(hour, hour + HOURS_PER_POINT, color=COLOR_GAP, linewidth=0)
    midpoints = [hour + HOURS_PER_POINT / 2 for hour in hours]
    axes.plot(midpoints, values, color=COLOR_WHOLE, marker=".", markersize=3, linewidth=1)
    axes.set_ylim(*_axis_limits(values))
    axes.set_ylabel(label)
    _mark_hours(axes, window)
    return _svg(figure)


def _figure() -> tuple[Any, Any]:
    with mpl.rc_context(SVG_SETTINGS):
        figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
        axes = figure.add_subplot()
    axes.spines[["top", "right"]].set_visible(False)
    return figure, axes


def _svg(figure: Any) -> str:
    buffer = io.StringIO()
    with mpl.rc_context(SVG_SETTINGS):
        FigureCanvasSVG(figure).print_svg(buffer, metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def _mark_hours(axes: Any, window: PageWindow) -> None:
    hours = (window.to_ms - window.from_ms) / MS_PER_HOUR
    ticks = list(range(0, int(hours) + 1, HOURS_PER_TICK))
    labels = [
        format_time_of_day(window.from_ms + tick * MS_PER_HOUR, window.offset_minutes)[:5]
        for tick in ticks
    ]
    axes.set_xlim(0, hours)
    axes.set_xticks(ticks, labels)


def _mark_target(axes: Any, group: GroupPage) -> None:
    if not group.latency or not group.target_max_ms:
        return
    # Each bar spans a factor of the square root of two, so two bars double the latency.
    ratio = group.target_max_ms * US_PER_MS / group.latency[0].up_to_us
    position = BARS_PER_DOUBLING * math.log2(ratio) + 0.5
    if not 0 < position < len(group.latency):
        return
    axes.axvline(position, color="black", linewidth=0.8, linestyle="--")
    axes.annotate("target", (position, 1), xycoords=("data", "axes fraction"))


def _axis_limits(values: Sequence[float]) -> tuple[float, float]:
    # NaN, which stands for a point without a value, is unequal to itself.
    known = [value for value in values if value == value]
    if not known:
        return (0.0, 1.0)
    spread = max(max(known) - min(known), 1.0)
    return (max(0.0, min(known) - spread / 10), max(known) + spread / 10)


def _per_cent(value: float | None) -> float:
    return float("nan") if value is None else value * PER_CENT


def _bar_label(up_to_us: int) -> str:
    milliseconds = up_to_us / US_PER_MS
    return f"{milliseconds:.3g}" if milliseconds < PER_CENT else f"{milliseconds:,.0f}"
