PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
NAME ?= overhead
TEST_WORKERS ?= 4
# Crowds of clients that fill a process; they run apart from other load.
CROWDS := tests/test_misbehaving_clients.py
export PYTHONPATH := src
export UV_USE_IO_URING := 0

.PHONY: install test lint format demo demo-platform bench model

install: $(VENV)/.installed

$(VENV)/.installed: constraints.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: install
	$(BIN)/python -m pytest -q -n $(TEST_WORKERS) --dist loadfile --ignore $(CROWDS)
	$(BIN)/python -m pytest -q $(CROWDS)

demo: install
	$(BIN)/python -m bench demo

demo-platform: install
	$(BIN)/python -m bench demo-platform

bench: install
	$(BIN)/python -m bench $(NAME)

model: install
	$(BIN)/python -m model
