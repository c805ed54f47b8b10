"""Every fault at every step: the test that runs it, or why none does."""

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
BEFORE_WRITE = STEPS[:5]
WRITE = STEPS[5:6]
ANSWER = STEPS[6:9]
DRAIN = STEPS[9:10]
CONFIGURATION = STEPS[10:13]
ORDER = STEPS[13:]

MATRIX = 'tests.unit.test_claim_matrix.ClaimMatrixTest'
MATRIX_CELLS = f'{MATRIX}.test_no_cell_breaks_a_promise'
SEEDS = (
    'tests.unit.test_claim_scenarios.RandomWorldTest'
    '.test_no_seed_breaks_a_promise'
)
FAULTS = 'tests.functional.test_process_faults.ProcessFaultsTest'
SIDE = 'tests.functional.test_callers_side.CallersSideTest'
PART = 'tests.functional.test_configuration.ConfigurationTest'
ADMISSION = 'tests.unit.test_admission.AdmissionTest'
STREAM = 'tests.functional.test_answers.StreamTest'
RETRY = 'tests.unit.test_retries.RetryTest'
PATH = 'tests.functional.test_whole_path.WholePathTest'

NOT_BUILT = 'cannot occur: orders to targets are not built'
NOT_COVERED = 'not covered'
NO_LIST = 'cannot occur: the step does not read the platform'
NO_TARGET = 'cannot occur: the step does not use a target'
NO_CONFIGURATION = 'cannot occur: the step does not use a document'
NO_CACHE = 'cannot occur: the step does not use cache events'
NO_KEY = 'cannot occur: the step has no key'


class Row(NamedTuple):
    """A fault, and what covers it in each group of steps."""

    fault: str
    before_write: str
    write: str
    answer: str
    drain: str
    configuration: str


ROWS = (
    Row(
        'kill',
        MATRIX_CELLS,
        MATRIX_CELLS,
        f'{FAULTS}.test_killed_instance_leaves_no_whole_stream',
        NOT_COVERED,
        f'{PART}.test_empty_instance_does_not_go_back_with_stale_platform',
    ),
    Row(
        'pause and late wake',
        MATRIX_CELLS,
        MATRIX_CELLS,
        f'{FAULTS}.test_paused_instance_ends_its_stream_whole',
        NOT_COVERED,
        f'{PART}.test_leaving_target_gets_no_new_work',
    ),
    Row(
        'cut between domains',
        MATRIX_CELLS,
        MATRIX_CELLS,
        NOT_COVERED,
        NOT_COVERED,
        NOT_COVERED,
    ),
    Row(
        'cut from the platform',
        f'{PART}.test_calls_go_on_without_platform',
        NO_LIST,
        NO_LIST,
        NO_LIST,
        f'{PART}.test_document_reaches_a_domain_without_platform',
    ),
    Row(
        'platform down',
        f'{PART}.test_calls_go_on_without_platform',
        NO_LIST,
        NO_LIST,
        NO_LIST,
        f'{PART}.test_calls_go_on_without_platform',
    ),
    Row(
        'platform stale',
        NOT_COVERED,
        NO_LIST,
        NO_LIST,
        NO_LIST,
        f'{PART}.test_empty_instance_does_not_go_back_with_stale_platform',
    ),
    Row(
        'target killed',
        'tests.functional.test_single_request.SingleRequestTest'
        '.test_refused_connection_was_not_run',
        f'{FAULTS}.test_reset_target_is_not_dispatched_to_again',
        f'{STREAM}.test_cut_stream_is_never_passed_off_as_whole',
        NOT_COVERED,
        NO_TARGET,
    ),
    Row(
        'target slowed',
        f'{ADMISSION}.test_running_draft_makes_room_in_time',
        f'{SIDE}.test_late_target_is_answered_at_the_deadline',
        NOT_COVERED,
        f'{PATH}.test_drain_cuts_no_stream',
        NO_TARGET,
    ),
    Row(
        'target answering late or out of order',
        NO_TARGET,
        f'{SIDE}.test_late_target_is_answered_at_the_deadline',
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
        f'{ADMISSION}.test_no_seed_breaks_the_order_of_shedding',
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
        f'{PART}.test_race_of_two_operators_ends_in_one_document',
    ),
    Row(
        "caller's repeat through another instance",
        MATRIX_CELLS,
        MATRIX_CELLS,
        MATRIX_CELLS,
        NOT_COVERED,
        NO_KEY,
    ),
    Row(
        'instance restarted empty',
        MATRIX_CELLS,
        MATRIX_CELLS,
        f'{FAULTS}.test_killed_home_never_runs_a_ticket_again',
        NOT_COVERED,
        f'{PART}.test_empty_instance_does_not_go_back_with_stale_platform',
    ),
)


def list_cells() -> dict[tuple[str, str], str]:
    """Return what covers each fault at each step."""
    cells = {}
    for row in ROWS:
        groups = (
            (BEFORE_WRITE, row.before_write),
            (WRITE, row.write),
            (ANSWER, row.answer),
            (DRAIN, row.drain),
            (CONFIGURATION, row.configuration),
            (ORDER, NOT_BUILT),
        )
        for steps, cover in groups:
            for step in steps:
                cells[row.fault, step] = cover
    return cells
