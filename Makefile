# `make demo` and `make test` do everything on a fresh machine, environment included.
PYTHON ?= python3
VENV ?= .venv
# Most tests wait for processes and conditions: files are played side by side, the tests of one in their order.
PARALLEL ?= -n 4 --dist loadfile

.PHONY: demo demo-control-plane test long

$(VENV)/built: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install --disable-pip-version-check -r requirements.txt
	touch $@

demo: $(VENV)/built
	$(VENV)/bin/python examples/demo.py

demo-control-plane: $(VENV)/built
	$(VENV)/bin/python examples/control_plane.py

test: $(VENV)/built
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/python -m pytest $(PARALLEL)

# The exhaustive sweeps that CI takes a sample of.
long: $(VENV)/built
	WILLOWNOTCH_LONG=1 $(VENV)/bin/python -m pytest $(PARALLEL)
