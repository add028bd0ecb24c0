"""Compares the newest score of each site in journal/ with the last committed one.

Usage: regression_table.py FILE, where FILE lists the entries that are committed.
Prints one line a site; the exit code is 1 where a gate failed or the worth fell.
"""

import glob
import json
import sys

# A change below this on a site is noise, as the bench's page says.
NOISE = 0.03


def load(path):
    with open(path, encoding="utf-8") as file:
        return json.load(file)


def scores(paths):
    """Returns the newest complete score of each site."""
    newest = {}
    for path in sorted(paths):
        entry = load(path)
        if entry.get("cmd") == "score" and entry.get("days"):
            newest[entry["site"]] = entry
    return newest


def standard_days(entry):
    return [day for day in entry["days"] if not day["name"].startswith("fresh")]


def mean_of_trouble(entry):
    worths = [day["G"] for day in standard_days(entry) if day["slot"] != "quiet"]
    return sum(worths) / len(worths) if worths else 0.0


def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        committed = {line.strip() for line in file}
    present = set(glob.glob("journal/*.json"))
    before = scores(committed & present)
    after = scores(present - committed)
    failed = False
    print(f"{'site':26} {'before':>7} {'now':>7} {'change':>7}  gate    worth by day")
    for site, entry in sorted(after.items()):
        now = mean_of_trouble(entry)
        passed = all(day["gate"] for day in entry["days"])
        former = mean_of_trouble(before[site]) if site in before else None
        change = now - former if former is not None else 0.0
        failed = failed or not passed or change < -NOISE
        shown = f"{former:7.3f}" if former is not None else "      -"
        days = " ".join(f"{day['G']:.3f}" for day in standard_days(entry))
        print(f"{site:26} {shown} {now:7.3f} {change:+7.3f}  {'passed' if passed else 'FAILED'}  {days}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
