# Plays days of a deployment with the operators' bench. KIT is its folder; CI
# needs none of this.
KIT ?= ../given/kit/more/system
SITE ?= tambuli-cowl
DAY ?= deploy/days/calm.toml
SEED ?= 1
DAYS ?= 40
WHY ?= by hand

BENCH = $(KIT)/bin/fleetbench
FILE = $(KIT)/sites/$(SITE).toml

.PHONY: day score hunt

# day builds the program and plays one day.
day:
	$(BENCH) run $(FILE) $(DAY) --seed $(SEED) --why "$(WHY)"

# score plays the standard days.
score:
	$(BENCH) score $(FILE) --jobs 4 --why "$(WHY)"

# hunt plays days with fresh seeds and names those that break a rule; the
# journal keeps them for `replay`.
hunt:
	$(BENCH) hunt $(FILE) --days $(DAYS) --jobs 4 --why "$(WHY)"

# kinds plays one day for each kind of trouble, deploy/days/, and prints those
# that break a rule.
.PHONY: kinds
kinds:
	@for day in deploy/days/*.toml; do \
		$(BENCH) run $(FILE) $$day --seed $(SEED) --why "$(WHY)" | grep -A1 "score  worth" | tail -n 1; \
	done

# stretch plays days on stretched copies of a site (deploy/stretch.awk), which
# stay under STRETCHED.
STRETCHED ?= /tmp/stretched
RULES ?= slow_store many_workspaces many_small one_domain slow_weights quick_weights slow_links
.PHONY: stretch
stretch:
	@mkdir -p $(STRETCHED) && cp $(KIT)/sites/wire.json $(STRETCHED)/
	@for rule in $(RULES); do \
		awk -v rule=$$rule -f deploy/stretch.awk $(FILE) >$(STRETCHED)/$$rule-$(SITE).toml; \
		echo "== $$rule $(SITE)"; \
		$(BENCH) hunt $(STRETCHED)/$$rule-$(SITE).toml --days $(DAYS) --jobs 4 --why "$(WHY): $$rule" | grep -E "BROKEN|no result|days" ; \
	done
