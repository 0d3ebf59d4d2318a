# `make demo` and `make test` set up everything they need in .venv.
PY := .venv/bin/python

# Programs that have to start after a plain install, without the tools of development.
PROGRAMS := entry agent gateway ctl burn bench soak standin fuzz

.PHONY: demo test lint fmt bench clean installed

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

test: lint installed
	timeout 900 $(PY) -m pytest

installed: .venv/.plain
	for program in $(PROGRAMS); do .venv/plain/bin/crankhinge-$$program --help > /dev/null || exit 1; done

.venv/.plain: .venv/.ready $(shell find src platform -name '*.py')
	rm -rf .venv/plain .venv/plain-src
	python3 -m venv .venv/plain
	mkdir -p .venv/plain-src
	cp -r pyproject.toml README.md src platform .venv/plain-src/
	.venv/plain/bin/pip install -q --disable-pip-version-check .venv/plain-src
	touch $@

fmt: .venv/.ready
	.venv/bin/ruff format src tests
	.venv/bin/ruff check --fix src tests

clean:
	rm -rf .venv
