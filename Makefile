VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)/src
SEED ?= 1
CELL ?=
ARGS ?=
# Most tests wait for timers and for processes of their own.
WORKERS ?= 4
# Exit code of pytest when no test is selected, as ARGS may bring about.
NONE_SELECTED := 5

# The users' bench and the folder of its site files, for `regress`.
FLEETBENCH ?= fleetbench
SITE_DIR ?= .
WHY ?= regression run
SITES := sites/kalkwater-router sites/vkos-masticwind \
	grown/kalkwater-router-grown grown/vkos-masticwind-grown \
	large/vkos-masticwind-large

.PHONY: setup lint format test demo bench faults soak regress

$(VENV)/.installed: pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

setup: $(VENV)/.installed

format: setup
	$(VENV)/bin/ruff check --fix src tests
	$(VENV)/bin/ruff format src tests

lint: setup
	$(VENV)/bin/ruff format --check src tests
	$(VENV)/bin/ruff check src tests
	$(VENV)/bin/flake8 src tests
	$(VENV)/bin/mypy

test: setup
	$(PY) -m pytest -n $(WORKERS) --dist worksteal -m 'not alone' $(ARGS)
	$(PY) -m pytest -m alone $(ARGS) || test $$? -eq $(NONE_SELECTED)

requirements.txt: pyproject.toml
	python3 -c "import tomllib; \
	names = tomllib.load(open('$<', 'rb'))['project']['dependencies']; \
	print('-c constraints.txt', *names, sep='\n')" > $@

demo: setup
	$(PY) -m masticwind_dev.local.main $(ARGS)

bench: setup
	$(PY) -m masticwind_dev.bench.main $(ARGS)

soak: setup
	$(PY) -m masticwind_dev.soak.main --seed $(SEED) $(ARGS)

faults: setup
	$(PY) -m masticwind_dev.faults.main --seed $(SEED) --cell '$(CELL)' $(ARGS)

# Scores the users' sites one after the other; the bench compares each with the
# last committed figures.
regress:
	for site in $(SITES); do \
		$(FLEETBENCH) score $(SITE_DIR)/$$site.toml --jobs 2 --why '$(WHY)' \
			|| exit 1; \
	done
