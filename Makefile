# Tests a deployment with fleetbench, the operators' test bench, which is not part of
# this repository. A day is a scenario of planned operations and faults. Not part of
# CI.
#
#   KIT    folder of the test bench
#   SITE   site in a folder of KIT: the machines and load of a deployment
#   BENCH  the test bench
#   DAY    day to run
#   SEED   seed of the day
#   DAYS   number of days that hunt and stretch run
#   WHY    reason of the runs, passed to the bench as --why
KIT ?= ../given/kit/more/system
SITE ?= tambuli-cowl
DAY ?= deploy/days/calm.toml
SEED ?= 1
DAYS ?= 40
WHY ?= by hand

BENCH ?= $(KIT)/more/bench-d17393/bin/fleetbench
FILE = $(wildcard $(KIT)/*/$(SITE).toml)

.PHONY: day score hunt

# day builds the program (deploy/system.toml) and runs one day.
day:
	$(BENCH) run $(FILE) $(DAY) --seed $(SEED) --why "$(WHY)"

# score runs the bench's standard days.
score:
	$(BENCH) score $(FILE) --jobs 4 --why "$(WHY)"

# hunt runs days with new seeds and prints those that break a rule. The journal
# records them, so that `replay` can run them again.
hunt:
	$(BENCH) hunt $(FILE) --days $(DAYS) --jobs 4 --why "$(WHY)"

# kinds runs each day of deploy/days, one for each kind of fault or operation, and
# prints the line below its score, where the bench names a rule that the day breaks.
.PHONY: kinds
kinds:
	@for day in deploy/days/*.toml; do \
		$(BENCH) run $(FILE) $$day --seed $(SEED) --why "$(WHY)" | grep -A1 "score  worth" | tail -n 1; \
	done

# stretch runs hunt on variants of a site with other sizes and rates, one for each of
# RULES, which deploy/stretch.awk writes to the folder STRETCHED.
STRETCHED ?= /tmp/stretched
RULES ?= slow_store many_workspaces many_small one_domain slow_weights quick_weights slow_links
.PHONY: stretch
stretch:
	@mkdir -p $(STRETCHED) && cp $(dir $(FILE))wire.json $(STRETCHED)/
	@for rule in $(RULES); do \
		awk -v rule=$$rule -f deploy/stretch.awk $(FILE) >$(STRETCHED)/$$rule-$(SITE).toml; \
		echo "== $$rule $(SITE)"; \
		$(BENCH) hunt $(STRETCHED)/$$rule-$(SITE).toml --days $(DAYS) --jobs 4 --why "$(WHY): $$rule" | grep -E "BROKEN|no result|days" ; \
	done
