"""Fits a line to a quantity measured at several sizes."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

import numpy

PERCENT = 100


class Slope(NamedTuple):
    """A row of the table: a quantity measured at several sizes.

    :param quantity: what was measured, with its unit.
    :param sizes: sizes, with what they count.
    :param values: measured values, one for each size.
    :param base: value of the fitted line at size 0.
    :param slope: growth of the fitted line for each unit of size.
    :param residual_percent: maximum distance of a value from the line, in
        percent of the maximum value.
    :param at_size: value of the line at the largest size to support.
    """

    quantity: str
    sizes: str
    values: str
    base: str
    slope: str
    residual_percent: float
    at_size: str


def measure_slope(
    quantity: str,
    unit: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
    design_size: int,
) -> Slope:
    """Measure a quantity at each size and fit a line.

    :param quantity: what is measured, with its unit.
    :param unit: what the sizes count.
    :param sizes: sizes to measure at.
    :param measure: returns the value at a size.
    :param design_size: largest size to support; the line is evaluated there.
    """
    values = [measure(size) for size in sizes]
    slope, base = numpy.polyfit(sizes, values, 1)
    residuals = [
        abs(base + slope * size - value)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Slope(
        quantity,
        f'{", ".join(map(str, sizes))} {unit}',
        ', '.join(f'{value:.4g}' for value in values),
        f'{base:.3g}',
        f'{slope:.3g}',
        PERCENT * max(residuals) / max(values),
        f'{base + slope * design_size:.4g} at {design_size}',
    )
