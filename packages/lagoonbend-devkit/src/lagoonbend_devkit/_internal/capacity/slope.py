"""A straight line through measured values."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

import numpy

PERCENT = 100


class Slope(NamedTuple):
    """A quantity measured at several sizes.

    :param quantity: what was measured, with its unit.
    :param sizes: sizes, with what they count.
    :param values: measured values, one a size.
    :param base: value of the fitted line at size 0.
    :param slope: growth of the fitted line for each unit of size.
    :param residual_percent: greatest distance of a value from the line, of
        the greatest value.
    :param at_size: value of the line at the size to design for.
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

    :param unit: what the sizes count.
    :param design_size: size to design for.
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
