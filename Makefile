PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
# Integration tests start up to ten processes each and have time limits.
TEST_WORKERS ?= 3

.PHONY: demo test lint format bench binary capacity

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/chicorylead demo

lint: $(VENV)/.installed
	$(BIN)/ruff check src tests bench examples
	$(BIN)/ruff format --check src tests bench examples

format: $(VENV)/.installed
	$(BIN)/ruff check --fix src tests bench examples
	$(BIN)/ruff format src tests bench examples

test: lint
	$(BIN)/python -m pytest tests -n $(TEST_WORKERS) --dist loadfile -m "not alone"
	$(BIN)/python -m pytest tests/callers -m alone

bench: $(VENV)/.installed
	$(BIN)/python -m bench steady --seconds 10 --json

binary: $(VENV)/.installed
	rm -rf build dist && mkdir -p dist
	PIP_CONSTRAINT=$(CURDIR)/requirements.lock $(BIN)/shiv --quiet --console-script chicorylead --python "/usr/bin/env python3.11" \
	  --compressed --output-file dist/chicorylead --no-build-isolation .

capacity: $(VENV)/.installed
	$(BIN)/python -m bench.capacity
