# Every target first creates or updates the virtual environment from requirements.lock.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
# The stamp name contains the checksum of the lock file, so that worktrees can share one
# environment.
STAMP := $(BIN)/.installed-$(shell cksum < requirements.lock | cut -d" " -f1)
SOURCES := packages testing bench
export PYTHONPATH := $(CURDIR)/packages/fulmarpulley-schema/src:$(CURDIR)/packages/fulmarpulley-core/src:$(CURDIR)/packages/fulmarpulley-node/src:$(CURDIR)/packages/fulmarpulley-cli/src:$(CURDIR)/testing/src:$(CURDIR)/bench/src
export PYTHONHASHSEED := 0

.PHONY: demo test lint format bench generate check-generated soak platform-soak

$(STAMP):
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(foreach name,schema core node cli,-e packages/fulmarpulley-$(name))
	touch $@

test: $(STAMP)
	$(BIN)/python -m fulmarpulley_testing.runner

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/lint-imports --no-cache
	$(BIN)/mypy packages/*/src testing/src bench/src

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

generate: $(STAMP)
	$(BIN)/python -m fulmarpulley_schema.generate

check-generated: generate
	git diff --exit-code -- packages/fulmarpulley-schema/src/fulmarpulley_schema/generated

demo: $(STAMP)
	$(BIN)/python -m fulmarpulley_testing.demo

bench: $(STAMP)
	$(BIN)/python -m fulmarpulley_bench.policy

soak: $(STAMP)
	$(BIN)/python -m fulmarpulley_testing.soak --seed 1 --seconds 600

# platform-soak runs once per seed, for SECONDS each.
SEEDS ?= 1 2 3 4 5
SECONDS ?= 60
platform-soak: $(STAMP)
	for seed in $(SEEDS); do $(BIN)/python -m fulmarpulley_testing.platform_soak --seed $$seed --seconds $(SECONDS) || exit 1; done
