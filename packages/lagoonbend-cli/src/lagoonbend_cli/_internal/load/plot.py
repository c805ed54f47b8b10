"""Draws the report of a load run."""

import pathlib

from lagoonbend_cli._internal.load.load_report import LoadReport


def draw_report(report: LoadReport, path: pathlib.Path) -> None:
    """Write goodput and latency by tier as SVG or PNG, by the suffix."""
    # The library takes a second to load and is rarely needed.
    from matplotlib.figure import Figure

    tiers = [tier['tier'] for tier in report['tiers']]
    figure = Figure(figsize=(9, 4), layout='constrained')
    goodput, latency = figure.subplots(1, 2)
    values = [tier['goodput_percent'] for tier in report['tiers']]
    bars = goodput.bar(tiers, values, color='#0b6e99')
    goodput.bar_label(bars, fmt='%.1f')
    goodput.set_ylabel('goodput, % of all requests')
    goodput.set_ylim(0, 110)
    for offset, name in enumerate(('p50', 'p95', 'p99')):
        heights = [tier['latency_ms'][name] for tier in report['tiers']]
        places = [n + 0.25 * (offset - 1) for n in range(len(tiers))]
        latency.bar(places, heights, 0.22, label=name)
    latency.set_xticks(range(len(tiers)), tiers)
    latency.set_ylabel('latency of answers, ms')
    latency.legend()
    figure.suptitle(f'{report["mix"]}, {report["rate_per_s"]:g} requests/s')
    figure.savefig(path)
