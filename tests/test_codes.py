import pathlib

from chivelb_core import codes

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "result-codes.md"


def test_the_documentation_page_matches_the_table():
    assert PAGE.read_text(encoding="utf-8") == codes.render_result_codes()


def test_numbers_and_names_are_unique():
    assert len({code.number for code in codes.ALL}) == len(codes.ALL)
    assert len({code.name for code in codes.ALL}) == len(codes.ALL)


def test_a_code_with_unknown_execution_status_advises_no_later_retry():
    for code in codes.ALL:
        if code.ran is codes.ExecutionStatus.UNKNOWN:
            assert code.retry is not codes.RetryAdvice.LATER, code.name
