PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint explore mutants bench slopes binary clean

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: setup
	$(BIN)/python -m tools.demo

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy ashpond tools
	$(BIN)/mypy -p ashpond_platform

# Passes over the tests that KNOWN-RED.txt names, and prints them.
test: export PYTEST_ADDOPTS := $(shell tools/list_known_red.sh)
test: setup
	@[ ! -s KNOWN-RED.txt ] || { echo "Known red, passed over:"; cat KNOWN-RED.txt; }
	$(BIN)/python -m pytest -n auto --dist worksteal -m "not alone"
	$(BIN)/python -m pytest -m alone

explore: setup
	ASHPOND_TESTS=explore $(BIN)/python -m pytest -k "not catches" \
		--ignore tests/test_processes.py --ignore tests/test_operations.py \
		--ignore tests/test_binary.py --hypothesis-show-statistics > build-explore.txt; \
	grep -E "^tests/|passing, |passed|failed" build-explore.txt

mutants: setup
	$(BIN)/python -m pytest -v -k "catches"

bench: setup
	$(BIN)/python -m tools.bench khangai
	$(BIN)/python -m tools.bench hinokuni

slopes: setup
	$(BIN)/python -m tools.slopes

binary: setup
	$(BIN)/python -m tools.binary.build

clean:
	rm -rf $(VENV) build dist
