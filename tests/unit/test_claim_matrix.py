"""At most once, over every fault and pair of faults at every step."""

import unittest

from lagoonbend_devkit.worlds import ComponentTypes
from lagoonbend_devkit.worlds import GuaranteeError
from tests.lib.broken_claims import BROKEN
from tests.lib.claim_matrix import list_cells
from tests.lib.claim_matrix import run_cell

CAUGHT_BY_MATRIX = (
    'memory of each instance alone',
    'no quarantine after a start',
    'ticket of an earlier incarnation',
    'pause not noticed',
    'receipt without an age',
    'claim given back after the write',
)


class ClaimMatrixTest(unittest.TestCase):
    """Runs all cells on the real parts and on broken variants."""

    def test_no_cell_breaks_a_promise(self) -> None:
        """The real parts hold in every cell."""
        cells = list(list_cells())
        for cell in cells:
            with self.subTest(cell=cell):
                run_cell(cell, ComponentTypes())
        self.assertEqual(2 * 11 * 11 * 28, len(cells))

    def test_cells_serve_a_fresh_call(self) -> None:
        """The matrix is no proof by refusal: most first calls are served."""
        served = sum(
            run_cell(cell, ComponentTypes()).counts['served'] > 0
            for cell in list_cells()
            if cell.first_step == cell.second_step == 'answer'
        )
        self.assertEqual(2 * 11 * 11, served)

    def test_broken_variants_are_caught(self) -> None:
        """Each broken variant fails in some cell."""
        for name in CAUGHT_BY_MATRIX:
            with self.subTest(variant=name):
                self.assertTrue(_is_caught(BROKEN[name]))


def _is_caught(types: ComponentTypes) -> bool:
    for cell in list_cells():
        try:
            run_cell(cell, types)
        except GuaranteeError:
            return True
    return False
