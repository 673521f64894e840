.PHONY: demo test soak install lint
PYTHON ?= python3
BIN := .venv/bin
SEED ?= 1
MINUTES ?= 1

demo: .venv/installed
	$(BIN)/chivelb demo

test: .venv/installed lint
	$(BIN)/python tests/run.py

lint: .venv/installed
	$(BIN)/ruff format --check packages platform tests
	$(BIN)/ruff check packages platform tests

soak: .venv/installed
	$(BIN)/chivelb soak --seed $(SEED) --minutes $(MINUTES)

install: .venv/installed

.venv/installed: requirements.in constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check \
		-c constraints.txt -r requirements.in
	touch $@
