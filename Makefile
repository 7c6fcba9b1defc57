# Every target does all of its own set-up from requirements.lock.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# Most tests wait for processes of their own, so several run side by side.
TEST_WORKERS ?= 5
NOTHING_SELECTED := 5
READY := $(VENV)/.ready

.PHONY: demo test bench soak check format clean

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(READY)

test: $(READY)
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist worksteal -m "not alone" $(PYTEST_ARGS)
	$(BIN)/python -m pytest -m alone $(PYTEST_ARGS) || [ $$? -eq $(NOTHING_SELECTED) ]

check: $(READY)
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/mypy

format: $(READY)
	$(BIN)/black --quiet .
	$(BIN)/ruff check --quiet --fix .

demo: $(READY)
	$(BIN)/python -m examples.demo

bench: $(READY)
	$(BIN)/python -m benchmarks

soak: $(READY)
	$(BIN)/python -m soak $(SOAK_ARGS)

clean:
	rm -rf $(VENV) build .mypy_cache .pytest_cache .ruff_cache
