VENV := .venv
PYTHON := $(VENV)/bin/python
PACKAGES := packages/ragwortpaddled packages/ragwortpaddle packages/standins
SEED ?= 1
ROUNDS ?= 3

.PHONY: demo up test lint model history bench capacity clean

$(VENV)/installed: constraints.txt requirements-dev.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q --disable-pip-version-check -c constraints.txt \
		-r requirements-dev.txt $(addprefix -e ,$(PACKAGES))
	touch $@

demo: $(VENV)/installed
	$(PYTHON) -m ragwortpaddle_standins.demo

up: $(VENV)/installed
	$(PYTHON) -m ragwortpaddle_standins.demo --stay

test: $(VENV)/installed
	$(PYTHON) -m pytest -q -n 3 --dist loadfile

lint: $(VENV)/installed
	$(PYTHON) -m black -q --check packages tests bench platform soak
	$(PYTHON) -m ruff check -q packages tests bench platform soak
	$(PYTHON) -m mypy

clean:
	rm -rf $(VENV) out

model: $(VENV)/installed
	command -v spin > /dev/null || apt-get install -y -q spin
	$(PYTHON) spec/check.py

history: $(VENV)/installed
	$(PYTHON) tests/history.py $(SEED) $(ROUNDS)

SCENARIOS := overhead chain rivals stragglers crest recovery

bench: $(VENV)/installed
	set -e; for name in $(SCENARIOS); do $(PYTHON) -m bench.scenarios $$name; done
	$(PYTHON) -m bench.operations

capacity: $(VENV)/installed
	$(PYTHON) -m bench.capacity
