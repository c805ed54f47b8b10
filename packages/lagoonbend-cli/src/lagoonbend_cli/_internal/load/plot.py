"""Plot of the report on a load run."""

import pathlib

from lagoonbend_cli._internal.load.load_report import LoadReport


def draw_report(report: LoadReport, path: pathlib.Path) -> None:
    """Draw goodput and latency by tier.

    :param path: file to write; its suffix selects SVG or PNG.
    """
    # Imported here because loading matplotlib takes a second, which only
    # runs with a plot should spend.
    from matplotlib.figure import Figure

    tiers = [tier['tier'] for tier in report['tiers']]
    figure = Figure(figsize=(9, 4), layout='constrained')
    goodput, latency = figure.subplots(1, 2)
    percentages = [tier['goodput_percent'] for tier in report['tiers']]
    bars = goodput.bar(tiers, percentages, color='#0b6e99')
    goodput.bar_label(bars, fmt='%.1f')
    goodput.set_ylabel('goodput, % of all requests')
    goodput.set_ylim(0, 110)
    for bar_index, percentile in enumerate(('p50', 'p95', 'p99')):
        latencies_ms = [
            tier['latency_ms'][percentile] for tier in report['tiers']
        ]
        positions = [n + 0.25 * (bar_index - 1) for n in range(len(tiers))]
        latency.bar(positions, latencies_ms, 0.22, label=percentile)
    latency.set_xticks(range(len(tiers)), tiers)
    latency.set_ylabel('latency of answers, ms')
    latency.legend()
    figure.suptitle(f'{report["mix"]}, {report["rate_per_s"]:g} requests/s')
    figure.savefig(path)
