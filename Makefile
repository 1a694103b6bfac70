# Two commands on a fresh machine: `make run` tries the broker, `make test` is what CI calls.
PYTHON = .venv/bin/python
TRY = .venv/bin/beechrock ask resolve hello --team packagers

.venv/.broker: pyproject.toml
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip -q install --disable-pip-version-check -e '.[broker]'
	touch $@

.PHONY: run test
run: .venv/.broker
	@echo "In another terminal:  $(TRY)"
	@echo "Edit deploy/inventory.yaml meanwhile; the node takes it up. End with Ctrl-C."
	@$(PYTHON) -m beechrock.lab.scgi_servers 9101 9102 9201 & servers=$$!; \
	trap "kill $$servers 2>/dev/null" EXIT; trap : INT TERM; \
	sed 's/enabled = false/enabled = true/' deploy/scgi.toml > .venv/scgi.toml; \
	LB_SCGI=.venv/scgi.toml $(PYTHON) -m beechrock

test:
	bash .ci/run
