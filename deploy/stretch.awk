# Stretches a site file of the operators' bench, so that days are played on
# deployments of the same kind whose sizes and rates differ. Prints the new file.
#
#	awk -v rule=RULE -f deploy/stretch.awk SITE.toml
#
# Rules:
#   slow_store       a third of the store's calls
#   many_workspaces  twice the workspaces, most of them isolated
#   many_small       two and a half times the instances, each with 60 % of the
#                    processor time and half of the memory
#   one_domain       everything in the first failure domain; one instance may fail
#   slow_weights     one engine at a time loads new weights at full speed, in twice
#                    the time allowed
#   quick_weights    as many as there are load at full speed
#   slow_links       engines load prefixes from each other at a tenth of the rate

# scaled returns the line with the number after "key = " multiplied.
function scaled(line, key, factor,    at, head, rest) {
	at = match(line, "(^|[ {])" key " = [0-9.]+")
	if (!at) return line
	head = substr(line, 1, at + RLENGTH - 1)
	rest = substr(line, at + RLENGTH)
	match(head, "[0-9.]+$")
	return substr(head, 1, RSTART - 1) number(substr(head, RSTART) * factor, substr(head, RSTART)) rest
}

# number prints n as whole or with a fraction, as old was.
function number(n, old) {
	if (index(old, ".")) return sprintf("%.10g", n) (n == int(n) ? ".0" : "")
	return sprintf("%d", n < 1 ? 1 : n + 0.5)
}

/^\[/ { section = $0 }

rule == "slow_store" && section == "[platform]" && /_per_s = / {
	sub(/= .*/, "= " sprintf("%.1f", $3 / 3))
}

rule == "many_workspaces" && section == "[tenants]" {
	$0 = scaled($0, "count", 2)
	if (/^walled = /) $0 = "walled = 0.6"
}

rule == "many_small" && /class = "front"/ && !/^small/ {
	$0 = scaled(scaled(scaled($0, "count", 2.5), "cpu_share", 0.6), "memory_mb", 0.5)
}

rule == "one_domain" {
	if (match($0, /^  \{ name = "[^"]*", region = /)) {
		split($0, part, "\"")
		if (first != "") { gone[part[2]] = 1; next }
		first = part[2]
	}
	for (name in gone) gsub("\"" name "\"", "\"" first "\"")
	if (section == "[tolerate]") {
		if (/^machines = /) $0 = "machines = 1"
		if (/^zones = /) $0 = "zones = 0"
	}
}

rule == "slow_weights" {
	if (/^at_once = /) $0 = "at_once = 1"
	$0 = scaled(scaled($0, "version_ms", 2), "version_all_ms", 2)
}
rule == "quick_weights" && /^at_once = / { $0 = "at_once = 1000" }

rule == "slow_links" && /model = "llm"/ { $0 = scaled($0, "link_mbps", 0.1) }

{ print }
