"""Table of faults and steps: the test that covers each pair, or why none does.

The steps are those of a call, of a drain, of a change of configuration and of
an order to a target.
"""

from typing import NamedTuple

STEPS = (
    'accept',
    'admit',
    'wait',
    'choose',
    'connect',
    'request written',
    'first token',
    'mid-stream',
    'last token not yet relayed',
    'drain',
    'configuration read',
    'applied',
    'spread',
    'order sent',
)
BEFORE_WRITE_STEPS = STEPS[:5]
WRITE_STEPS = STEPS[5:6]
ANSWER_STEPS = STEPS[6:9]
DRAIN_STEPS = STEPS[9:10]
CONFIGURATION_STEPS = STEPS[10:13]
ORDER_STEPS = STEPS[13:]

CLAIM_MATRIX_TESTS = 'tests.unit.test_claim_matrix.ClaimMatrixTest'
CLAIM_MATRIX_CELLS_TEST = f'{CLAIM_MATRIX_TESTS}.test_no_cell_breaks_a_promise'
CLAIM_SEEDS_TEST = (
    'tests.unit.test_claim_scenarios.RandomWorldTest'
    '.test_no_seed_breaks_a_promise'
)
PROCESS_FAULT_TESTS = 'tests.functional.test_process_faults.ProcessFaultsTest'
CALLERS_SIDE_TESTS = 'tests.functional.test_callers_side.CallersSideTest'
CONFIGURATION_TESTS = 'tests.functional.test_configuration.ConfigurationTest'
ADMISSION_TESTS = 'tests.unit.test_admission.AdmissionTest'
STREAM_TESTS = 'tests.functional.test_answers.StreamTest'
RETRY_TESTS = 'tests.unit.test_retries.RetryTest'
WHOLE_PATH_TESTS = 'tests.functional.test_whole_path.WholePathTest'

NOT_BUILT = 'cannot occur: orders to targets are not built'
NOT_COVERED = 'not covered'
NO_LIST = 'cannot occur: the step does not read the platform'
NO_TARGET = 'cannot occur: the step does not use a target'
NO_CONFIGURATION = 'cannot occur: the step does not use a document'
NO_CACHE = 'cannot occur: the step does not use cache events'
NO_KEY = 'cannot occur: the step has no key'


class Row(NamedTuple):
    """A fault and its coverage in each group of steps.

    A field names a test, or says why none covers the fault there.
    """

    fault: str
    before_write: str
    write: str
    answer: str
    drain: str
    configuration: str


ROWS = (
    Row(
        'kill',
        CLAIM_MATRIX_CELLS_TEST,
        CLAIM_MATRIX_CELLS_TEST,
        f'{PROCESS_FAULT_TESTS}.test_killed_instance_leaves_no_whole_stream',
        NOT_COVERED,
        f'{CONFIGURATION_TESTS}'
        '.test_empty_instance_does_not_go_back_with_stale_platform',
    ),
    Row(
        'pause and late wake',
        CLAIM_MATRIX_CELLS_TEST,
        CLAIM_MATRIX_CELLS_TEST,
        f'{PROCESS_FAULT_TESTS}.test_paused_instance_ends_its_stream_whole',
        NOT_COVERED,
        f'{CONFIGURATION_TESTS}.test_leaving_target_gets_no_new_work',
    ),
    Row(
        'cut between domains',
        CLAIM_MATRIX_CELLS_TEST,
        CLAIM_MATRIX_CELLS_TEST,
        NOT_COVERED,
        NOT_COVERED,
        NOT_COVERED,
    ),
    Row(
        'cut from the platform',
        f'{CONFIGURATION_TESTS}.test_calls_go_on_without_platform',
        NO_LIST,
        NO_LIST,
        NO_LIST,
        f'{CONFIGURATION_TESTS}'
        '.test_document_reaches_a_domain_without_platform',
    ),
    Row(
        'platform down',
        f'{CONFIGURATION_TESTS}.test_calls_go_on_without_platform',
        NO_LIST,
        NO_LIST,
        NO_LIST,
        f'{CONFIGURATION_TESTS}.test_calls_go_on_without_platform',
    ),
    Row(
        'platform stale',
        NOT_COVERED,
        NO_LIST,
        NO_LIST,
        NO_LIST,
        f'{CONFIGURATION_TESTS}'
        '.test_empty_instance_does_not_go_back_with_stale_platform',
    ),
    Row(
        'target killed',
        'tests.functional.test_single_request.SingleRequestTest'
        '.test_refused_connection_was_not_run',
        f'{PROCESS_FAULT_TESTS}.test_reset_target_is_not_dispatched_to_again',
        f'{STREAM_TESTS}.test_cut_stream_is_never_passed_off_as_whole',
        NOT_COVERED,
        NO_TARGET,
    ),
    Row(
        'target slowed',
        f'{ADMISSION_TESTS}.test_running_draft_makes_room_in_time',
        f'{CALLERS_SIDE_TESTS}.test_late_target_is_answered_at_the_deadline',
        NOT_COVERED,
        f'{WHOLE_PATH_TESTS}.test_drain_cuts_no_stream',
        NO_TARGET,
    ),
    Row(
        'target answering late or out of order',
        NO_TARGET,
        f'{CALLERS_SIDE_TESTS}.test_late_target_is_answered_at_the_deadline',
        'tests.functional.test_answers.BodyTest'
        '.test_second_answer_on_a_connection_is_an_error',
        NOT_COVERED,
        NO_TARGET,
    ),
    Row(
        'cache events lost',
        'tests.unit.test_model.ModelTest.test_urgent_tier_is_served',
        NO_CACHE,
        NO_CACHE,
        NO_CACHE,
        NO_CACHE,
    ),
    Row(
        'burst',
        f'{ADMISSION_TESTS}.test_no_seed_breaks_the_order_of_shedding',
        NO_TARGET,
        NO_TARGET,
        NOT_COVERED,
        NOT_COVERED,
    ),
    Row(
        'race of two operators',
        NO_CONFIGURATION,
        NO_CONFIGURATION,
        NO_CONFIGURATION,
        NO_CONFIGURATION,
        f'{CONFIGURATION_TESTS}'
        '.test_race_of_two_operators_ends_in_one_document',
    ),
    Row(
        "caller's repeat through another instance",
        CLAIM_MATRIX_CELLS_TEST,
        CLAIM_MATRIX_CELLS_TEST,
        CLAIM_MATRIX_CELLS_TEST,
        NOT_COVERED,
        NO_KEY,
    ),
    Row(
        'instance restarted empty',
        CLAIM_MATRIX_CELLS_TEST,
        CLAIM_MATRIX_CELLS_TEST,
        f'{PROCESS_FAULT_TESTS}.test_killed_home_never_runs_a_ticket_again',
        NOT_COVERED,
        f'{CONFIGURATION_TESTS}'
        '.test_empty_instance_does_not_go_back_with_stale_platform',
    ),
)


def list_cells() -> dict[tuple[str, str], str]:
    """Return the coverage by fault and step."""
    cells = {}
    for row in ROWS:
        groups = (
            (BEFORE_WRITE_STEPS, row.before_write),
            (WRITE_STEPS, row.write),
            (ANSWER_STEPS, row.answer),
            (DRAIN_STEPS, row.drain),
            (CONFIGURATION_STEPS, row.configuration),
            (ORDER_STEPS, NOT_BUILT),
        )
        for steps, coverage in groups:
            for step in steps:
                cells[row.fault, step] = coverage
    return cells
