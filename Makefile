# Every target does all of its own set-up from requirements.lock.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# Most tests wait for processes of their own, so several run side by side.
TEST_WORKERS ?= 5
NOTHING_SELECTED := 5
# Tests of faults that are not mended yet are passed over; "KNOWN_RED=" runs them too.
KNOWN_RED ?= KNOWN-RED.txt
PASSED_OVER = $(if $(KNOWN_RED),$(shell sed -n 's,^\(tests/[^ ]*\).*,\1,p' $(KNOWN_RED)))
DESELECT = $(foreach test,$(PASSED_OVER),--deselect '$(test)')
READY := $(VENV)/.ready

.PHONY: demo test bench soak check format clean

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(READY)

test: $(READY)
	@$(if $(PASSED_OVER),echo "Known red (passed over):" && cat $(KNOWN_RED))
	@# Both runs are made, whatever the first one finds; at least one has to select tests.
	@$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist worksteal -m "not alone" \
		$(DESELECT) $(PYTEST_ARGS); beside=$$?; \
	$(BIN)/python -m pytest -m alone $(DESELECT) $(PYTEST_ARGS); alone=$$?; \
	case "$$beside $$alone" in \
		"0 0" | "0 $(NOTHING_SELECTED)" | "$(NOTHING_SELECTED) 0") ;; \
		*) echo "tests side by side ended with $$beside, those alone with $$alone"; exit 1 ;; \
	esac

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
