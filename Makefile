VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SITE ?= malabar

.PHONY: demo test check format ci clean

$(STAMP): pyproject.toml requirements.lock
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
		--requirement requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
		--no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/wisteriasill demo --site $(SITE)

test: $(STAMP)
	$(PYTHON) -m pytest

check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

clean:
	rm -rf $(VENV) build wisteriasill.egg-info
