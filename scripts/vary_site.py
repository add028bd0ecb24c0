#!/usr/bin/env python3
"""Plays variants of a site file and prints their worth beside that of a base commit.

Usage: scripts/vary_site.py SITE OUT --bench BENCH [--base COMMIT] [--day NAME] [--seeds N] [--variants A,B]

Each variant changes one property of the installation: the work of a request, the slots of a target, the shape of
the work, cold starts, traffic, callers by data centre, deadlines or objectives. Where a variant changes what the
targets can serve, the traffic changes with it, so that their load stays the same. The variants are written below
OUT and never committed. The plays charge no processor time, so that they repeat.
"""
import argparse
import pathlib
import re
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def scale(text, key, factor):
    """Multiplies each number that `key` is set to."""
    return re.sub(rf"\b({key} = )([0-9.]+)",
                  lambda m: f"{m[1]}{float(m[2]) * factor:.6g}", text)


def scale_work(text, factor):
    """Multiplies the work of all requests and divides the traffic by the same factor."""
    def work(match):
        return scale(scale(match[0], "mean", factor), "max", factor)
    text = re.sub(r"work_ms = \{[^}]*\}", work, text)
    return scale(text, "per_s", 1 / factor)


def set_slots(text, slots):
    """Gives each target `slots` slots and scales the traffic with them."""
    before = float(re.search(r"\bslots = (\d+)", text)[1])
    text = re.sub(r"\bslots = \d+", f"slots = {slots}", text)
    text = re.sub(r"\bqueue = \d+", f"queue = {4 * slots}", text)
    return scale(text, "per_s", slots / before)


def heavy_tail(text):
    """Makes one request in thirty take eight times as long, at the same mean."""
    def work(match):
        mean = float(re.search(r"mean = ([0-9.]+)", match[0])[1])
        return (f"work_ms = {{ mean = {mean / 1.23:.6g}, spread = 0.5, tail = 0.033, tail_x = 8.0, "
                f"max = {mean * 40:.6g} }}")
    return re.sub(r"work_ms = \{[^}]*\}", work, text)


def cold_starts(text):
    text = re.sub(r"\bcold_s = [0-9.]+", "cold_s = 5.0", text)
    return re.sub(r"\bcold_x = [0-9.]+", "cold_x = 3.0", text)


def crowd_one_zone(text):
    """Moves most callers of each traffic table to its first data centre."""
    def table(match):
        rates = [float(rate) for rate in re.findall(r"per_s = ([0-9.]+)", match[0])]
        shares = iter([0.7] + [0.3 / (len(rates) - 1)] * (len(rates) - 1))
        return re.sub(r"per_s = [0-9.]+",
                      lambda m: f"per_s = {sum(rates) * next(shares):.6g}", match[0])
    return re.sub(r"^traffic = \[.*?^\]", table, text, flags=re.DOTALL | re.MULTILINE)


VARIANTS = {
    "unvaried": lambda text: text,
    "work-0.25": lambda text: scale_work(text, 0.25),
    "work-2": lambda text: scale_work(text, 2),
    "work-4": lambda text: scale_work(text, 4),
    "slots-1": lambda text: set_slots(text, 1),
    "slots-2": lambda text: set_slots(text, 2),
    "slots-8": lambda text: set_slots(text, 8),
    "heavy-tail": heavy_tail,
    "cold-starts": cold_starts,
    "traffic-0.5": lambda text: scale(text, "per_s", 0.5),
    "traffic-1.2": lambda text: scale(text, "per_s", 1.2),
    "one-data-centre": crowd_one_zone,
    "deadlines-0.5": lambda text: scale(text, "deadline_ms", 0.5),
    "deadlines-2": lambda text: scale(text, "deadline_ms", 2),
    "objectives-0.5": lambda text: scale(text, "aim_ms", 0.5),
    "objectives-2": lambda text: scale(text, "aim_ms", 2),
}


def write_variants(site, out, names):
    text = site.read_text()
    files = {}
    for name in names:
        folder = out / name
        folder.mkdir(parents=True, exist_ok=True)
        for other in site.parent.iterdir():
            if other.is_file() and other.suffix != ".toml":
                shutil.copyfile(other, folder / other.name)
        files[name] = folder / site.name
        files[name].write_text(VARIANTS[name](text))
    return files


def play(bench, tree, site, day, seed, why):
    """Returns the worth of a day, or None where the play failed."""
    run = subprocess.run([bench, "run", str(site), day, "--no-cpu", "--seed", str(seed), "--why", why],
                         cwd=tree, capture_output=True, text=True, check=False)
    found = re.search(r"^worth (-?[0-9.]+)", run.stdout, re.MULTILINE)
    return float(found[1]) if found else None


def mean(values):
    known = [value for value in values if value is not None]
    return sum(known) / len(known) if known else float("nan")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("--bench", required=True, type=pathlib.Path)
    parser.add_argument("--base", help="commit to compare with")
    parser.add_argument("--day", default="scale-2")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--variants", default=",".join(VARIANTS))
    arguments = parser.parse_args()
    names = arguments.variants.split(",")
    unknown = [name for name in names if name not in VARIANTS]
    if unknown:
        sys.exit(f"unknown variant {unknown[0]}, expected some of {', '.join(VARIANTS)}")
    out = arguments.out.resolve()
    bench = arguments.bench.resolve()
    trees = {"here": ROOT}
    if arguments.base:
        trees = {arguments.base: out / "base", "here": ROOT}
        if not trees[arguments.base].exists():
            subprocess.run(["git", "clone", "-q", str(ROOT), str(out / "base")], check=True)
        subprocess.run(["git", "checkout", "-q", arguments.base], cwd=out / "base", check=True)
        for days in (ROOT / "deploy/days").glob("*.toml"):
            shutil.copy(days, out / "base/deploy/days")
    files = write_variants(arguments.site.resolve(), out, names)
    print(f"| variant of {arguments.site.stem}, {arguments.day} | " + " | ".join(trees) + " |")
    print("|---" * (len(trees) + 1) + "|")
    for name, file in files.items():
        figures = []
        for tree in trees.values():
            worth = [play(bench, tree, file, arguments.day, seed, f"trial: variant {name}")
                     for seed in range(1, arguments.seeds + 1)]
            figures.append(f"{mean(worth):.3f} ({', '.join(f'{w:.3f}' if w is not None else '-' for w in worth)})")
        print(f"| {name} | " + " | ".join(figures) + " |", flush=True)


if __name__ == "__main__":
    main()
