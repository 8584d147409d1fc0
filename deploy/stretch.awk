# Prints a variant of a site file of the operators' test bench, to test deployments
# of the same kind with other sizes and rates.
#
#	awk -v rule=RULE -f deploy/stretch.awk SITE.toml
#
# Rules:
#   slow_store       the platform's store serves a third of the calls per second
#   many_workspaces  twice the workspaces, 60 % of them isolated
#   many_small       two and a half times the instances, each with 60 % of the
#                    processor share and half of the memory
#   one_domain       everything in the first failure domain; the loss of one machine
#                    is to be tolerated, that of a domain is not
#   slow_weights     only one engine at a time loads new weights at full speed, and
#                    version_ms and version_all_ms are doubled
#   quick_weights    any number of engines at a time load new weights at full speed
#   slow_links       engines load prefixes from each other at a tenth of the rate

# scaled returns the line with the number after "key = " multiplied by factor. The
# line is unchanged if it doesn't have the key.
function scaled(line, key, factor,    at, head, rest) {
	at = match(line, "(^|[ {])" key " = [0-9.]+")
	if (!at) return line
	head = substr(line, 1, at + RLENGTH - 1)
	rest = substr(line, at + RLENGTH)
	match(head, "[0-9.]+$")
	return substr(head, 1, RSTART - 1) format_like(substr(head, RSTART) * factor, substr(head, RSTART)) rest
}

# format_like returns n with a decimal point if the text old has one, and otherwise
# rounded to a whole number of at least 1.
function format_like(n, old) {
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
		if (first != "") { removed[part[2]] = 1; next }
		first = part[2]
	}
	for (name in removed) gsub("\"" name "\"", "\"" first "\"")
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
