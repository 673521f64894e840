"""Results of changes, which the document state records."""

from collections.abc import Iterable
import itertools

import msgspec

from chivelb_core.document import validation

# Limits of the recorded results together, of their change ids and problems.
MAX_RECORDED_RESULTS = 200_000
MAX_RECORDED_BYTES = 33_554_432
# Limits of the problems of one result.
MAX_PROBLEMS = 100
MAX_PROBLEM_LENGTH = 1_000


class ChangeResult(msgspec.Struct, frozen=True):
    """The recorded result of a change, returned again to each resend.

    Attributes:
        code: Number of the result code.
        version: Document version that the change created, or the current
            version if the change was rejected.
        digest: Digest of the change's content; detects a change id that is
            reused for another change.
        problems: The first validation errors of the change; empty if it was
            accepted.
    """

    code: int
    version: int
    digest: str
    problems: list[validation.Problem] = []


def count_bytes(change_id: str, result: ChangeResult) -> int:
    """Returns the size of a recorded result, as far as its texts vary."""
    return len(change_id) + sum(
        len(problem.path) + len(problem.message) for problem in result.problems
    )


def shorten(problems: Iterable[validation.Problem]) -> list[validation.Problem]:
    """Returns the first problems, as far as a result has them."""
    return [
        validation.Problem(
            problem.path[:MAX_PROBLEM_LENGTH],
            problem.message[:MAX_PROBLEM_LENGTH],
        )
        for problem in itertools.islice(problems, MAX_PROBLEMS)
    ]
