#!/usr/bin/env bash
# Guards against undocumented interfaces and dead links: every settings key,
# command, metric and log event that the sources define is named on a page
# under docs/, and every relative link leads to an existing file.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
pages=$(cat docs/*.md docs/operators/*.md)

# require_page KIND NAME PATTERN: fails if no page matches PATTERN. Keys, commands
# and events must have a table row, because their names also occur in other text.
require_page() {
  if ! grep -qE -- "$3" <<<"$pages"; then
    echo "$1 $2 is not documented"; failed=$((failed + 1))
  fi
}
# require_count KIND COUNT NAMES: fails if there are fewer than COUNT names, because
# then the pattern that extracts them no longer matches the sources.
require_count() {
  if [ "$(wc -w <<<"$3")" -lt "$2" ]; then
    echo "found fewer than $2 $1: $3"; failed=$((failed + 1))
  fi
}

keys=$(grep -ozE '\.[a-zA-Z]+\(\s*"[a-z_]+"' src/settings/settings.cpp |
  tr '\0' '\n' | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u)
require_count settings 25 "$keys"
for key in $keys; do
  require_page "settings key" "$key" "^\\| \`$key\` \\||^## \`\\[+$key\\]+\`"
done

commands=$(grep -oE '^  arbutustack [a-z]+' src/cli/command_line.cpp |
  awk '{print $2}' | sort -u)
require_count commands 10 "$commands"
for command in $commands; do require_page command "$command" "^\\| \`$command[ \`]"; done

events=$(grep -rhozE 'logEvent\(\s*log_level::[A-Za-z]+,\s*"[a-z_]+"' src |
  tr '\0' '\n' | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u)
require_count events 25 "$events"
for event in $events; do require_page "log event" "$event" "^\\| \`$event\` \\|"; done

metrics=$(grep -rhoE '"arbutus_[a-z_]+"' src | tr -d '"' | sort -u)
require_count metrics 15 "$metrics"
for metric in $metrics; do
  case "$metric" in
    # Metrics whose name ends with an entry of a table in the sources.
    arbutus_mesh_bytes_sent_) table=src/net/message_kind.h ;;
    arbutus_mesh_dropped_) table=src/net/mesh_counters.h ;;
    *) require_page metric "$metric" "\`$metric\`"; continue ;;
  esac
  parts=$(grep -oE '::[A-Za-z]+, "[a-z_]+"' "$table" | grep -oE '"[a-z_]+"' |
    tr -d '"')
  require_count "$metric" 9 "$parts"
  for part in $parts; do require_page metric "$metric$part" "\`$metric$part\`"; done
done

while read -r page; do
  while read -r link; do
    target="$(dirname "$page")/${link%%#*}"
    if [ ! -e "$target" ]; then
      echo "$page: link to missing $link"; failed=$((failed + 1))
    fi
  done < <(grep -oE '\]\([^)]+\)' "$page" | sed 's/^](//; s/)$//' |
    grep -vE '^(https?:|mailto:|#)')
done < <(ls README.md docs/*.md docs/operators/*.md)

[ "$failed" -eq 0 ] || { echo "$failed problems"; exit 1; }
echo "docs: $(wc -w <<<"$keys $commands $events $metrics") names, links hold"
