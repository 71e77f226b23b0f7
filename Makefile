# Targets for users and developers; each sets up the environment first.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

SEEDS ?= 50
FIRST ?= 1

.PHONY: setup demo test check format bench soak clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: setup
	$(PYTHON) -m waywell.demo

check: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 waywell
	$(VENV)/bin/mypy

test: check
	$(PYTHON) -m pytest

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: setup
	$(PYTHON) -m waywell.bench

soak: setup
	$(PYTHON) -m tests.soak --seeds=$(SEEDS) --first=$(FIRST)

clean:
	rm -rf $(VENV)
