#!/usr/bin/env python3
"""Prints, by two-second window of a played day, its worth and an upper bound from what the slots served.

A report is the output of the users' bench for one day. Its rows count requests by the window of their first attempt.
The bound gives each answered request its full value: late answers become answers in time, the most valuable kinds
first, and as many requests fail as did. With two reports of the same day the larger number of answers in a window
counts, so that the bound does not depend on the losses of one side. Where an outage or cold targets decide instead of
the slots, it is not a bound.
"""
import argparse
import pathlib
import re


def rows(text, title):
    part = text.split(title, 1)[1].split("\n\n", 1)[0]
    return re.findall(r"^(\S+) +(\d+) +(\d+) +(\d+) +(\d+) +(\d+) +(\d+) +([0-9.]+)", part, re.MULTILINE)


def class_shares(text, values):
    """Returns pairs of value and share of the requests, the most valuable first."""
    classes = [(values.get(row[0], 1.0), int(row[1])) for row in rows(text, "class  ")]
    asked = sum(count for _, count in classes)
    return sorted(((value, count / asked) for value, count in classes), reverse=True)


def bound(asked, answered, shares):
    earned = 0.0
    left = answered
    for value, share in shares:
        served = min(left, share * asked)
        earned += value * served
        left -= served
    return earned / sum(value * share * asked for value, share in shares)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("reports", nargs="+", type=pathlib.Path, help="one or two reports of the same day")
    parser.add_argument("--value", action="append", default=[], metavar="KIND=VALUE",
                        help="value of a kind of request in time, 1 where it is not given")
    arguments = parser.parse_args()
    values = {kind: float(value) for kind, value in (pair.split("=") for pair in arguments.value)}
    texts = [report.read_text(encoding="utf-8") for report in arguments.reports]
    tables = [{row[0]: row for row in rows(text, "from second")} for text in texts]
    shares = class_shares(texts[0], values)
    print("| from second | asked | " + " | ".join(["in time, late, failed, worth"] * len(texts)) + " | bound |")
    print("|---" * (len(texts) + 3) + "|")
    for second, row in tables[0].items():
        asked = int(row[1])
        answered = max(int(table[second][2]) + int(table[second][3]) for table in tables)
        cells = [f"{t[second][2]}, {t[second][3]}, {t[second][5]}, {t[second][7]}" for t in tables]
        print(f"| {second} | {asked} | " + " | ".join(cells) + f" | {bound(asked, answered, shares):.3f} |")


if __name__ == "__main__":
    main()
