#!/usr/bin/python3
"""Draws docs/plots/*.svg from the CSV files of the experiments.

Usage: scripts/plot.py DIR [OUT]

DIR holds overload.csv, routing.csv and placement.csv, which the programs write
with --csv; a file that is absent is skipped. OUT is docs/plots by default.
Lines are medians over the seeds; bands reach from the least to the greatest.
"""
import csv
import itertools
import pathlib
import statistics
import sys

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402

# Equal input gives equal files, so that a diff shows real changes only.
matplotlib.rcParams["svg.hashsalt"] = "godwitcleat"
matplotlib.rcParams["font.size"] = 9
SIZE = (5.6, 3.2)  # Inches.


def read(path):
    with open(path, newline="") as source:
        return list(csv.DictReader(source))


def group(rows, keys, figure):
    """Returns the sorted values of a figure by the tuple of the keys."""
    result = {}
    for row in rows:
        key = tuple(row[k] for k in keys)
        result.setdefault(key, []).append(float(row[figure]))
    return {key: sorted(values) for key, values in result.items()}


def save(figure, path):
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
    print(path)


def draw_lines(axes, groups, names):
    """Draws one line for each name over the load."""
    # Lines often lie on one another; dashes leave the lower one visible.
    styles = itertools.cycle(["-", "--", "-.", ":"])
    for at, (name, style) in enumerate(zip(names, styles)):
        points = sorted(
            (float(load), values)
            for (line, load), values in groups.items()
            if line == name
        )
        if not points:
            continue
        loads = [load for load, _ in points]
        axes.plot(
            loads,
            [statistics.median(v) for _, v in points],
            style,
            color=f"C{at}",
            marker="o",
            markersize=3,
            label=name,
        )
        axes.fill_between(
            loads,
            [v[0] for _, v in points],
            [v[-1] for _, v in points],
            color=f"C{at}",
            alpha=0.15,
            linewidth=0,
        )
    axes.set_xlabel("load, % of all slots")
    axes.grid(alpha=0.3)


def plot_overload(rows, out):
    names = ["none", "estimate", "hold_deadline", "gradient", "bounded"]
    titles = {
        "200:100": "all deadlines 200 ms",
        "2000:50 500:30 200:20": "deadlines 2 s, 500 ms and 200 ms",
    }
    figure, panels = plt.subplots(1, 2, figsize=(8.4, 3.2), sharey=True)
    for axes, (deadlines, title) in zip(panels, titles.items()):
        chosen = [
            row
            for row in rows
            if row["scenario"] == "steady"
            and row["deadlines"] == deadlines
            and row["mean_ms"] == "50"
            and row["backends"] == "50"
            and row["backoff"] == "1"
        ]
        draw_lines(axes, group(chosen, ["limiter", "load"], "goodput"), names)
        axes.set_title(title)
    panels[0].set_ylabel("good answers per second")
    panels[0].set_ylim(bottom=0)
    panels[1].legend(*panels[0].get_legend_handles_labels(), fontsize=8)
    save(figure, out / "overload_goodput.svg")


def plot_routing(rows, out):
    chosen = [row for row in rows if row["scenario"] == "steady"]
    names = list(dict.fromkeys(row["policy"] for row in chosen))
    figure, axes = plt.subplots(figsize=SIZE)
    draw_lines(axes, group(chosen, ["policy", "load"], "p99_ms"), names)
    bound = group(chosen, ["backends", "load"], "bound_p99_ms")
    points = sorted((float(k[1]), statistics.median(v)) for k, v in bound.items())
    axes.plot(*zip(*points), "k--", label="omniscient queue")
    axes.set_ylabel("p99, ms")
    axes.legend(fontsize=8)
    save(figure, out / "routing_p99.svg")


def plot_placement(rows, out):
    groups = group(rows, ["policy", "relief"], "p99_slowdown")
    figure, axes = plt.subplots(figsize=SIZE)
    for at, values in enumerate(groups.values()):
        damage = [value - 1.0 for value in values]
        middle = statistics.median(damage)
        axes.barh(
            at,
            middle,
            xerr=[[middle - damage[0]], [damage[-1] - middle]],
            color="tab:blue",
            alpha=0.7,
        )
    axes.set_yticks(range(len(groups)), [", ".join(key) for key in groups])
    axes.invert_yaxis()
    axes.set_xlabel("p99 damage of services (slowdown - 1)")
    axes.grid(axis="x", alpha=0.3)
    save(figure, out / "placement_damage.svg")


def main():
    if len(sys.argv) not in (2, 3):
        sys.exit(__doc__)
    source = pathlib.Path(sys.argv[1])
    root = pathlib.Path(__file__).resolve().parent.parent
    out = pathlib.Path(sys.argv[2]) if len(sys.argv) > 2 else root / "docs/plots"
    out.mkdir(parents=True, exist_ok=True)
    plots = {
        "overload.csv": plot_overload,
        "routing.csv": plot_routing,
        "placement.csv": plot_placement,
    }
    for name, draw in plots.items():
        if (source / name).exists():
            draw(read(source / name), out)


if __name__ == "__main__":
    main()
