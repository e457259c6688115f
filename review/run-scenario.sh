#!/usr/bin/env bash
# run-scenario.sh SCENARIO CASE_FOLDER: starts a scenario of the stand-ins and
# ends every process that it started. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run.
set -u
scenario="$1"
here="$(cd "$2" && pwd)"
root="$(cd "$(dirname "$0")/.." && pwd)"
program="$root/target/release/threadledge"
stand_ins="$root/target/review/release/review"
if [ ! -x "$program" ] || [ ! -x "$stand_ins" ]; then
  echo "build the command of deploy/system.toml and review/build.sh first"
  exit 2
fi
folder="$(mktemp -d)"
clean() {
  # Nothing is left here unless the scenario was ended early.
  if [ -f "$folder/processes" ]; then
    while read -r id; do
      case "$(tr '\0' ' ' 2>/dev/null < "/proc/$id/cmdline")" in
        *"$folder"*) kill -KILL "$id" 2>/dev/null ;;
      esac
    done < "$folder/processes"
  fi
  rm -rf "$folder"
}
trap clean EXIT
timeout 118 "$stand_ins" "$scenario" "$program" "$folder" "$here/record.txt" "${TROUBLE:-1}" "${SEED:-1}"
code=$?
case "$code" in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
