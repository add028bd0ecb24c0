#!/usr/bin/env python3
"""Compares the C++ code of the work tree with a commit, token by token and without comments.

Usage: scripts/compare_tokens.py BASE [PATH...]

A change of wording may rename identifiers and change string literals, and nothing else. Prints a line for each
  STRUCTURE  file whose other tokens differ, with the differences
  INCLUDES   file whose #include lines differ
  SPLIT      identifier of a file that became several ones
  JOINED     identifiers of a file that became one
  RENAME     identifier with its new names, over all files
  LITERAL    string literal that changed
The exit code is 1 where tokens or #include lines differ.
"""

import collections
import difflib
import pathlib
import re
import subprocess
import sys

TOKEN = re.compile(
    r"(?P<comment>//[^\n]*|/\*.*?\*/)"
    r'|(?P<literal>R"(?P<delimiter>[^()\\\s]{0,16})\(.*?\)(?P=delimiter)"|"(?:[^"\\\n]|\\.)*")'
    r"|(?P<character>'(?:[^'\\\n]|\\.)')"
    r"|(?P<name>[A-Za-z_]\w*)"
    r"|(?P<number>\d[\w.']*)"
    r"|(?P<operator>\S)",
    re.S,
)
INCLUDE = re.compile(r"^#include[^\n]*", re.M)
CONTEXT = 6


def git(*arguments):
    return subprocess.run(("git",) + arguments, check=True, capture_output=True, text=True).stdout


def read_tokens(text):
    """Returns (kind, token) pairs; adjacent string literals count as one."""
    tokens = []
    for match in TOKEN.finditer(INCLUDE.sub("", text)):
        token = match.group()
        if match["comment"]:
            continue
        kind = "literal" if match["literal"] else "name" if match["name"] else "other"
        if kind == "literal" and tokens and tokens[-1][0] == "literal" and token[0] == '"' == tokens[-1][1][0]:
            tokens[-1] = (kind, tokens[-1][1][:-1] + token[1:])
        else:
            tokens.append((kind, token))
    return tokens


def shape(tokens):
    return [(kind, "") if kind != "other" else (kind, token) for kind, token in tokens]


def print_differences(old, new):
    matcher = difflib.SequenceMatcher(None, shape(old), shape(new), autojunk=False)
    for kind, i, j, k, m in matcher.get_opcodes():
        if kind != "equal":
            before = " ".join(token for _, token in old[max(0, i - CONTEXT) : j + CONTEXT])
            after = " ".join(token for _, token in new[max(0, k - CONTEXT) : m + CONTEXT])
            print(f"    {before}  ==>  {after}")


def print_mapping(name, old, new):
    """Prints where a file's renames do not map one name to one name."""
    forward, backward = collections.defaultdict(set), collections.defaultdict(set)
    for (kind, before), (_, after) in zip(old, new):
        if kind == "name":
            forward[before].add(after)
            backward[after].add(before)
    for before, after in forward.items():
        if len(after) > 1:
            print("SPLIT", name, before, "->", ", ".join(sorted(after)))
    for after, before in backward.items():
        if len(before) > 1:
            print("JOINED", name, ", ".join(sorted(before)), "->", after)


def main(arguments):
    if not arguments:
        print(__doc__.strip(), file=sys.stderr)
        return 2
    base, paths = arguments[0], arguments[1:] or ["."]
    renames, literals, changed, differing = collections.defaultdict(set), [], 0, 0
    for name in git("ls-tree", "-r", "--name-only", base, "--", *paths).split():
        if not re.search(r"\.(cc|h)$", name):
            continue
        old_text = git("show", f"{base}:{name}")
        path = pathlib.Path(name)
        new_text = path.read_text(encoding="utf-8") if path.exists() else ""
        changed += old_text != new_text
        old, new = read_tokens(old_text), read_tokens(new_text)
        if sorted(INCLUDE.findall(old_text)) != sorted(INCLUDE.findall(new_text)):
            print("INCLUDES", name)
            differing += 1
        if shape(old) != shape(new):
            print("STRUCTURE", name)
            print_differences(old, new)
            differing += 1
            continue
        print_mapping(name, old, new)
        for (kind, before), (_, after) in zip(old, new):
            if before != after and kind == "name":
                renames[before].add(after)
            elif before != after:
                literals.append((name, before, after))
    for before in sorted(renames):
        print("RENAME", before, "->", ", ".join(sorted(renames[before])))
    for name, before, after in literals:
        print("LITERAL", name, before, "=>", after)
    print(f"{changed} files changed, {differing} differ in more than names and literals")
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
