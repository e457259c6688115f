#!/usr/bin/env python3
"""Draws days with several troubles at once, overlapping or in series.

Usage: mixes.py SITE.toml OUTDIR FIRST_SEED COUNT

Each day is the first day of the site file (a quiet one) with two to five
troubles of troubles.toml. The same seed draws the same day on every site with
the same services. Prints the files' names. Troubles that a deployment does not
know are refused when the day is played; `without` takes their names from the
environment variable WITHOUT, separated by commas.
"""
import os
import random
import re
import sys
import tomllib

FIRST_S = 3.0
LAST_S = 22.0
# Two troubles meet when the later begins within this time of the earlier.
MEET_S = 1.5
SPANS = ("share", "x", "gap_s", "for_s")


def drawn_times(dice, count):
    times = [dice.uniform(FIRST_S, LAST_S)]
    while len(times) < count:
        beside = dice.choice(times) + dice.uniform(0.0, MEET_S)
        times.append(beside if dice.random() < 0.5 else dice.uniform(FIRST_S, LAST_S))
    return sorted(times)


def entry(dice, at, kind, trouble, services):
    fields = [f"at = {at:.2f}", f'kind = "{kind}"']
    for name in SPANS:
        if name in trouble:
            fields.append(f"{name} = {dice.uniform(*trouble[name]):.2f}")
    how = dice.choice(trouble["how"])
    if how:
        fields.append(f'how = "{how}"')
    if kind.startswith("srv_") or trouble.get("keyed"):
        fields.append(f'service = "{dice.choice(services)}"')
    if kind in ("node_kill", "node_freeze") and set(how.split()) & {"leader", "giver", "renewed"}:
        fields.append('on = "core"')
        fields.append("count = 1")
    return "{ " + ", ".join(fields) + " }"


def listed(name, entries):
    if not entries:
        return f"{name} = []"
    return f"{name} = [\n  " + ",\n  ".join(entries) + ",\n]"


def day(seed, quiet, troubles, services):
    dice = random.Random(seed)
    planned, faults = [], []
    for at in drawn_times(dice, dice.randint(2, 5)):
        kind = dice.choice(sorted(troubles))
        trouble = troubles[kind]
        target = planned if trouble.get("planned") else faults
        target.append(entry(dice, at, kind, trouble, services))
    text = re.sub(r"^plan = \[.*?^\]", lambda _: listed("plan", planned), quiet, flags=re.S | re.M)
    text = re.sub(r"^faults = \[.*?^\]", lambda _: listed("faults", faults), text, flags=re.S | re.M)
    text = re.sub(r'^name = ".*"', f'name = "mix-{seed}"', text, count=1, flags=re.M)
    return re.sub(r'^slot = ".*"', 'slot = "trouble"', text, count=1, flags=re.M)


def main():
    site, out, first, count = sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    here = os.path.dirname(os.path.abspath(__file__))
    with open(os.path.join(here, "troubles.toml"), "rb") as file:
        troubles = tomllib.load(file)
    for name in filter(None, os.environ.get("WITHOUT", "").split(",")):
        troubles.pop(name, None)
    with open(site) as file:
        text = file.read()
    sheet = tomllib.loads(text)
    keyed = [service["name"] for service in sheet["services"] if service.get("sharded")]
    others = [service["name"] for service in sheet["services"] if not service.get("sharded")]
    quiet = re.split(r"^\[\[day\]\]$", text, flags=re.M)[1].strip() + "\n"
    os.makedirs(out, exist_ok=True)
    for seed in range(first, first + count):
        path = os.path.join(out, f"mix-{seed}.toml")
        with open(path, "w") as file:
            file.write(day(seed, quiet, troubles, keyed + others))
        print(path)


main()
