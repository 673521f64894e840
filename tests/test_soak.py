from chivelb_cli.bench import soak
import pytest


def test_any_exception_of_a_round_names_its_seed(monkeypatch):
    def fail(seed, steps):
        if seed == 8:
            raise IndexError("list index out of range")

    monkeypatch.setattr(soak, "_run_round", fail)
    with pytest.raises(soak.SoakError, match="seed 8: IndexError"):
        soak.run(seed=7, minutes=1)


def test_a_seed_gives_the_same_round_each_time():
    step_counts = []
    for _ in range(2):
        steps = {"control group": 0, "claims": 0, "membership": 0, "rounds": 0}
        soak._run_round(10204, steps)
        step_counts.append(steps)
    assert step_counts[0] == step_counts[1]
