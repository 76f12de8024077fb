PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed
SEED ?= 1
MINUTES ?= 5
SEEDS ?= 50

.PHONY: test demo demo-platform soak lint binary bench slopes fuzz docs docs-check clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m tests.run

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

demo: $(STAMP)
	$(BIN)/python -m demo.demo

demo-platform: $(STAMP)
	$(BIN)/python -m demo.demo_platform

soak: $(STAMP)
	$(BIN)/python -m soak --seed $(SEED) --seeds $(SEEDS)

binary: $(STAMP)
	mkdir -p dist
	$(BIN)/shiv -c foxtailsaddle -o dist/foxtailsaddle -p '/usr/bin/env python3' -- --quiet -c constraints.txt .

bench: $(STAMP)
	$(BIN)/python -m bench --plan bench/plans/mixed.yaml

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

fuzz: $(STAMP)
	$(BIN)/python -m tests.fuzz --seed $(SEED) --minutes $(MINUTES)

docs: $(STAMP)
	$(BIN)/python docs/generate.py

docs-check: $(STAMP)
	$(BIN)/python docs/generate.py --check

clean:
	rm -rf $(VENV) build dist demo/run
