# Development commands; README.md explains them.
VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin
SEED ?= 1
SECONDS ?= 60
JOBS ?= 3
SEEDS ?= 10
ALONE = tests/test_hostile_clients.py tests/test_large_jobs_processes.py
STAMP = $(VENV)/.installed
SOURCES = src tests dev

.PHONY: venv test lint format lock demo soak node-soak measure measure-path measure-capacity measure-node measure-large
venv: $(STAMP)

$(STAMP): requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

# Files run side by side; JOBS=0 runs one after the other. Those that fill a
# machine run alone, one test at a time, also after a failure of the others.
test: venv
	$(BIN)/python -m pytest -n $(JOBS) --dist loadfile $(ALONE:%=--ignore=%); \
	others=$$?; $(BIN)/python -m pytest -n 0 $(ALONE) && exit $$others

lint: venv
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: venv
	$(BIN)/ruff check --fix --select I,RUF100 $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

# Re-pins every dependency after pyproject.toml changed.
lock: venv
	$(BIN)/python -m pip install --quiet pip-tools
	$(BIN)/pip-compile --quiet --extra dev --strip-extras --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --no-header -o requirements.lock pyproject.toml

demo: venv
	$(BIN)/python -m dev.demo --seed=$(SEED)

# Random combinations of faults; prints the seed of a breach.
soak: venv
	$(BIN)/python -m dev.soak --seconds=$(SECONDS) --seed=$(SEED) --requests=400 --jobs=24

# Random faults on the node program; a seed each 25 s.
node-soak: venv
	$(BIN)/python -m dev.node_soak --first=$(SEED) --seeds=$(SEEDS)

# What the entry adds to a request, beside a bare forwarder.
measure-path: venv
	$(BIN)/python -m dev.measure_path

# Naive beside ours over seeded arrivals, and the speed of deciding.
measure: venv
	$(BIN)/python -m dev.measure --seed=$(SEED)

# Slopes for docs/CAPACITY-DAEMONS.md.
measure-capacity: venv
	$(BIN)/python -m dev.measure_capacity

# What the node program's decisions cost at 24, 176 and 740 workers.
measure-node: venv
	$(BIN)/python -m dev.node_speed

# What one large job costs the leader, for docs/PLATFORM.md.
measure-large: venv
	$(BIN)/python -m dev.large_job_cost
