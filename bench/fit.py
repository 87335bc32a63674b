"""Linear least-squares fits of measurements, and their tables."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import linear_regression
from typing import NamedTuple

from rich.console import Console
from rich.table import Table


class Fit(NamedTuple):
    """A fitted line with the largest residual."""

    slope: float
    intercept: float
    residual: float
    """Largest absolute residual, as a fraction of the largest absolute value."""

    def at(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.intercept + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line by least squares.

    :param sizes: at least four sizes
    :param values: the value measured at each size
    """
    slope, intercept = linear_regression(sizes, values)
    distances = [
        abs(value - intercept - slope * size)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Fit(slope, intercept, max(distances) / max(map(abs, values)))


def print_fit(
    title: str,
    size_name: str,
    sizes: Sequence[float],
    values: Sequence[float],
    unit: str,
    *,
    target: float | None = None,
) -> Fit:
    """Print the points, the fitted line and its value at the target size.

    :param title: title of the table
    :param size_name: name of the size
    :param sizes: the sizes
    :param values: the value measured at each size
    :param unit: unit of the values
    :param target: size to extrapolate to
    """
    line = fit(sizes, values)
    table = Table(title=title)
    table.add_column(size_name, justify="right")
    table.add_column(f"measured, {unit}", justify="right")
    table.add_column(f"line, {unit}", justify="right")
    for size, value in zip(sizes, values, strict=True):
        table.add_row(f"{size:g}", f"{value:.4g}", f"{line.at(size):.4g}")
    if target is not None:
        table.add_row(f"{target:g}", "worked out", f"{line.at(target):.4g}")
    console = Console(width=88)
    console.print(table)
    console.print(
        f"slope {line.slope:.4g} {unit} for each of {size_name}, intercept "
        f"{line.intercept:.4g} {unit}, residual {line.residual:.1%}\n"
    )
    return line


def fit_terms(
    terms: Sequence[Sequence[float]], values: Sequence[float]
) -> tuple[float, ...]:
    """Fit a linear combination of terms by least squares and return its coefficients.

    :param terms: values of the terms at each point; more points than terms
    :param values: the value measured at each point
    """
    count = len(terms[0])
    points = list(zip(terms, values, strict=True))
    matrix = [
        [sum(t[i] * t[j] for t in terms) for j in range(count)]
        + [sum(t[i] * value for t, value in points)]
        for i in range(count)
    ]
    for i in range(count):
        pivot = max(range(i, count), key=lambda row: abs(matrix[row][i]))
        matrix[i], matrix[pivot] = matrix[pivot], matrix[i]
        matrix[i] = [cell / matrix[i][i] for cell in matrix[i]]
        for row in range(count):
            if row != i:
                factor = matrix[row][i]
                pairs = zip(matrix[row], matrix[i], strict=True)
                matrix[row] = [cell - factor * other for cell, other in pairs]
    return tuple(row[-1] for row in matrix)
