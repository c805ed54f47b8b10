PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := lagoonbend lagoonbend-entry lagoonbend-cli lagoonbend-devkit

.PHONY: setup demo test lint format generate

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	for package in $(PACKAGES); do \
	  $(BIN)/pip install --quiet --disable-pip-version-check \
	    --no-build-isolation --no-deps -e packages/$$package || exit 1; \
	done
	touch $@

demo: setup
	$(BIN)/python -m lagoonbend_devkit demo
	$(BIN)/python -m lagoonbend_devkit published-demo

test: setup
	$(BIN)/python -m tests

lint: setup
	$(BIN)/ruff format --check packages tests
	$(BIN)/ruff check packages tests
	$(BIN)/flake8 packages tests
	$(BIN)/mypy

format: setup
	$(BIN)/ruff check --fix packages tests
	$(BIN)/ruff format packages tests

generate: setup
	cd packages/lagoonbend-entry/src && PATH="$(CURDIR)/$(BIN):$$PATH" \
	  python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. \
	  --grpclib_python_out=. \
	  lagoonbend_entry/_internal/network/peers/generated/peer.proto
