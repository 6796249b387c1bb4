#!/usr/bin/env python3
"""Plots the CSV of the policy benchmark as SVG: one chart per user and measure, with the load on the x axis.

usage: bench-policy loads > loads.csv; utils/plot-policy.py loads.csv docs/design/plots
"""

import csv
import pathlib
import sys
from collections import defaultdict

WIDTH, HEIGHT, MARGIN = 560, 320, 56
COLOURS = {"basilpoint": "#1b7837", "round-robin": "#999999", "least-load": "#d6604d", "prefix-sticky": "#4393c3"}
MEASURES = {
    "p95": "p95 program latency, s",
    "goodput": "programs finished in time per second",
    "recomputed": "recomputed tokens",
}


def read(path):
    """Returns the runs without faults as {user: {policy: {load: [row]}}}."""
    table = defaultdict(lambda: defaultdict(lambda: defaultdict(list)))
    with open(path, newline="") as file:
        for row in csv.DictReader(file):
            if row["scenario"] == "none":
                table[row["user"]][row["policy"]][float(row["load"])].append(row)
    return table


def value_range(rows, measure):
    """Returns the lowest, mean and highest value of a measure over the seeds."""
    values = [float(row[measure]) for row in rows]
    return min(values), sum(values) / len(values), max(values)


def chart(user, policies, measure, title):
    """Returns an SVG chart with a line per policy through the means and, at each load, a bar from the lowest
    to the highest value of the seeds."""
    points = {p: {load: value_range(rows, measure) for load, rows in loads.items()} for p, loads in policies.items()}
    max_load = max(load for line in points.values() for load in line)
    top = max(high for line in points.values() for _, _, high in line.values()) or 1

    def x(load):
        return MARGIN + load / max_load * (WIDTH - 2 * MARGIN)

    def y(value):
        return HEIGHT - MARGIN - value / top * (HEIGHT - 2 * MARGIN)

    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" font-family="sans-serif" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
        f'<text x="{MARGIN}" y="20" font-size="13">{user}: {title}</text>',
        f'<path d="M{MARGIN} {MARGIN - 20}V{HEIGHT - MARGIN}H{WIDTH - MARGIN}" fill="none" stroke="black"/>',
        f'<text x="{WIDTH / 2}" y="{HEIGHT - 16}">load, times capacity</text>',
    ]
    for tick in range(5):
        value = top * tick / 4
        parts.append(f'<text x="{MARGIN - 4}" y="{y(value) + 4:.1f}" text-anchor="end">{value:.3g}</text>')
    for load in sorted({load for line in points.values() for load in line}):
        parts.append(f'<text x="{x(load):.1f}" y="{HEIGHT - MARGIN + 14}" text-anchor="middle" font-size="9">{load:g}</text>')
    for n, (policy, line) in enumerate(points.items()):
        colour = COLOURS.get(policy, "black")
        path = " ".join(f"{x(load):.1f},{y(mean):.1f}" for load, (_, mean, _) in sorted(line.items()))
        parts.append(f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="2"/>')
        for load, (low, _, high) in line.items():
            parts.append(f'<path d="M{x(load):.1f} {y(low):.1f}V{y(high):.1f}" stroke="{colour}"/>')
        parts.append(f'<text x="{MARGIN + 8 + n * 110}" y="36" fill="{colour}">{policy}</text>')
    parts.append("</svg>\n")
    return "\n".join(parts)


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    folder = pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    for user, policies in read(sys.argv[1]).items():
        for measure, title in MEASURES.items():
            (folder / f"policy-{user}-{measure}.svg").write_text(chart(user, policies, measure, title))


if __name__ == "__main__":
    main()
