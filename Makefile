# `make demo` and `make test` set up everything they need in .venv.
PY := .venv/bin/python

.PHONY: demo test lint fmt bench clean

.venv/.ready: pyproject.toml requirements.lock
	python3 -m venv .venv
	.venv/bin/pip install -q --disable-pip-version-check -r requirements.lock
	.venv/bin/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

LOGS ?=

demo: .venv/.ready
	$(PY) -m crankhinge_bench.main demo --logs "$(LOGS)"

lint: .venv/.ready
	.venv/bin/ruff format --check src tests
	.venv/bin/ruff check src tests
	.venv/bin/mypy

test: lint
	timeout 900 $(PY) -m pytest

fmt: .venv/.ready
	.venv/bin/ruff format src tests
	.venv/bin/ruff check --fix src tests

clean:
	rm -rf .venv
