"""Targets that answer twice: a caller gets its own answer or a failure.

By hand, for the seeds from 1 to 50, or for all forms of second answers::

    python tests/test_stuttering_targets.py 1 51
    python tests/test_stuttering_targets.py forms
"""

import asyncio
import collections
import sys

import pytest
import seeded_days
import stuttering_answers
import stuttering_fleet

SEEDS = (2, 3, 7)
# All orders of headers are played by hand and by the seeds.
ORDERS = ("length first", "id last")


def describe(problem):
    return f"{problem.rule}: {problem.what} | {'; '.join(problem.forms)}"


async def play_forms(pairs, times, orders=ORDERS):
    """Returns the problems of each form, and how the second request ended.

    Most of the first requests must get their own answer: behind targets that
    answer nothing, no rule is broken either.
    """
    problems, ends = collections.defaultdict(set), collections.Counter()
    answered = collections.Counter()
    async for first, second, options, fleet in stuttering_fleet.play_pairs(
        pairs, times, orders
    ):
        cut, time, order = options["cut"], options["time"], options["order"]
        ends[cut, time, order, fleet.received[1].end] += 1
        planned = stuttering_fleet.ANSWERS[first][1].get("status", 200)
        answered[fleet.received[0].status == planned] += 1
        for problem in fleet.problems():
            symptom = f"{problem.rule}: {problem.what}"
            problems[symptom, cut, time, order].add(f"{first} -> {second}")
    assert answered[True] > answered[False]
    return problems, ends


# Guards against the beginning of a second answer that becomes the status and
# the first headers of the answer behind it: a success where the target answered
# a failure, a failure where it answered a success, and cut streams.
@pytest.mark.parametrize("time", stuttering_answers.TIMES)
def test_a_second_answer_is_no_part_of_the_answer_behind_it(time):
    problems, _ = asyncio.run(play_forms(stuttering_fleet.PAIRS, [time]))
    assert not dict(problems)


# Guards against a second answer behind a stream without a length, whose events
# came to the caller again as if they belonged to the stream.
def test_a_second_answer_is_no_part_of_a_stream_without_a_length():
    times = ("same write", "with the end", "later")
    pairs = [("stream 200 close", "safe 200")]
    problems, _ = asyncio.run(play_forms(pairs, times))
    assert not dict(problems)


# Guards against mixtures of second answers, refusals and failures beside
# concurrent callers, in which a caller gets what is not its own answer.
@pytest.mark.parametrize("seed", SEEDS)
def test_callers_get_their_own_answers_from_stuttering_targets(seed):
    fleet = asyncio.run(stuttering_fleet.play_seed(seed))
    assert not [describe(problem) for problem in fleet.problems()]
    # Behind targets that answer nothing, no rule is broken either.
    own = [each for each in fleet.received if each.status == 200]
    assert len(own) > len(fleet.received) / 3


def _play_seeds(first, end):
    seeded_days._silence_logs()
    totals, ends = collections.Counter(), collections.Counter()
    for seed in range(first, end):
        fleet = asyncio.run(stuttering_fleet.play_seed(seed))
        ends.update(received.end for received in fleet.received)
        for problem in fleet.problems():
            totals[problem.rule, problem.what] += 1
            print(seed, problem.request_id, describe(problem))
    print(totals, ends, sep="\n")


def _play_all_forms():
    seeded_days._silence_logs()
    names = list(stuttering_fleet.ANSWERS)
    pairs = [(first, second) for first in names for second in names]
    problems, ends = asyncio.run(
        play_forms(pairs, stuttering_answers.TIMES, stuttering_answers.ORDERS)
    )
    for form in sorted(problems):
        print(*form, f"{len(problems[form])} pairs", sep=" | ")
    totals = collections.Counter()
    for (*_, end), count in ends.items():
        totals[end] += count
    print(totals)


if __name__ == "__main__":
    if sys.argv[1] == "forms":
        _play_all_forms()
    else:
        _play_seeds(int(sys.argv[1]), int(sys.argv[2]))
