#!/usr/bin/env bash
# Guards against undocumented interfaces and dead links: every settings key,
# command, metric and log event that the sources define is named on a page
# under docs/, and every relative link leads to an existing file.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
pages=$(cat docs/*.md docs/operators/*.md)

# want KIND NAME PATTERN: keys, commands and events need a table row of their
# own, because their names also occur in other text.
want() {
  if ! grep -qE -- "$3" <<<"$pages"; then
    echo "$1 $2 is not documented"; failed=$((failed + 1))
  fi
}
# need KIND COUNT NAMES: fewer names than COUNT mean that the pattern no longer
# fits the sources.
need() {
  if [ "$(wc -w <<<"$3")" -lt "$2" ]; then
    echo "found only these of $1: $3"; failed=$((failed + 1))
  fi
}

keys=$(grep -ozE '\.[a-zA-Z]+\(\s*"[a-z_]+"' src/settings/settings.cpp |
  tr '\0' '\n' | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u)
need settings 25 "$keys"
for key in $keys; do
  want "settings key" "$key" "^\\| \`$key\` \\||^## \`\\[+$key\\]+\`"
done

commands=$(grep -oE '^  arbutustack [a-z]+' src/cli/command_line.cpp |
  awk '{print $2}' | sort -u)
need commands 10 "$commands"
for command in $commands; do want command "$command" "^\\| \`$command[ \`]"; done

events=$(grep -rhozE 'logEvent\(\s*log_level::[A-Za-z]+,\s*"[a-z_]+"' src |
  tr '\0' '\n' | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u)
need events 25 "$events"
for event in $events; do want "log event" "$event" "^\\| \`$event\` \\|"; done

metrics=$(grep -rhoE '"arbutus_[a-z_]+"' src | tr -d '"' | sort -u)
need metrics 15 "$metrics"
for metric in $metrics; do
  case "$metric" in
    # Families whose last part is a name from a table.
    arbutus_mesh_bytes_sent_) table=src/net/message_kind.h ;;
    arbutus_mesh_dropped_) table=src/net/mesh_counters.h ;;
    *) want metric "$metric" "\`$metric\`"; continue ;;
  esac
  parts=$(grep -oE '::[A-Za-z]+, "[a-z_]+"' "$table" | grep -oE '"[a-z_]+"' |
    tr -d '"')
  need "$metric" 9 "$parts"
  for part in $parts; do want metric "$metric$part" "\`$metric$part\`"; done
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

[ "$failed" -eq 0 ] || { echo "$failed faults"; exit 1; }
echo "docs: $(wc -w <<<"$keys $commands $events $metrics") names, links hold"
