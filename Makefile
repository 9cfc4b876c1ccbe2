# Each target makes the virtual environment from the pinned lock when it is missing.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SOURCES := packages testing bench
export PYTHONPATH := $(CURDIR)/packages/fulmarpulley-schema/src:$(CURDIR)/packages/fulmarpulley-core/src:$(CURDIR)/packages/fulmarpulley-node/src:$(CURDIR)/packages/fulmarpulley-cli/src:$(CURDIR)/testing/src:$(CURDIR)/bench/src
export PYTHONHASHSEED := 0

.PHONY: demo test lint format bench generate check-generated soak

$(BIN)/.installed: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(foreach name,schema core node cli,-e packages/fulmarpulley-$(name))
	touch $@

test: $(BIN)/.installed
	$(BIN)/python -m fulmarpulley_testing.runner

lint: $(BIN)/.installed
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/lint-imports --no-cache
	$(BIN)/mypy packages/*/src testing/src bench/src

format: $(BIN)/.installed
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

generate: $(BIN)/.installed
	$(BIN)/python -m fulmarpulley_schema.generate

check-generated: generate
	git diff --exit-code -- packages/fulmarpulley-schema/src/fulmarpulley_schema/generated

demo: $(BIN)/.installed
	$(BIN)/python -m fulmarpulley_testing.demo

bench: $(BIN)/.installed
	$(BIN)/python -m fulmarpulley_bench.policy
