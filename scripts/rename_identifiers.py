#!/usr/bin/env python3
"""Renames identifiers in the C++ sources by a list; string literals stay as they are.

Usage: scripts/rename_identifiers.py LIST [PATH...]

LIST has a line 'old new' for each rename; '#' starts a comment. PATH defaults to the whole repository. In comments
only names that cannot be words are renamed: those with an underscore or a capital letter inside. Prints the changed
files and warns where a new name was in use before. Run scripts/format.sh afterwards.
"""

import pathlib
import re
import subprocess
import sys

TOKEN = re.compile(
    r'(?P<literal>R"(?P<delimiter>[^()\\\s]{0,16})\(.*?\)(?P=delimiter)"|"(?:[^"\\\n]|\\.)*"|\'(?:[^\'\\\n]|\\.)\')'
    r"|(?P<comment>//[^\n]*|/\*.*?\*/)"
    r"|(?P<name>[A-Za-z_]\w*)",
    re.S,
)


def read_list(path):
    renames = {}
    for line in pathlib.Path(path).read_text(encoding="utf-8").splitlines():
        words = line.split("#")[0].split()
        if len(words) == 2:
            renames[words[0]] = words[1]
    return renames


def main(arguments):
    if not arguments:
        print(__doc__.strip(), file=sys.stderr)
        return 2
    renames = read_list(arguments[0])
    in_comments = {old for old in renames if re.search(r"[a-z0-9][A-Z]|_", old)}
    listed = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard", "--"] + (arguments[1:] or ["."]),
        check=True,
        capture_output=True,
        text=True,
    ).stdout.split("\n")

    def rename(match):
        if match["literal"]:
            return match.group()
        if match["comment"]:
            return re.sub(r"\w+", lambda word: renames[word[0]] if word[0] in in_comments else word[0], match.group())
        return renames.get(match.group(), match.group())

    names_before, changed = set(), 0
    for path in map(pathlib.Path, listed):
        if path.suffix not in (".cc", ".h") or not path.exists():
            continue
        text = path.read_text(encoding="utf-8")
        names_before.update(re.findall(r"\w+", text))
        renamed = TOKEN.sub(rename, text)
        if renamed != text:
            path.write_text(renamed, encoding="utf-8")
            print(path)
            changed += 1
    for old, new in renames.items():
        if new in names_before:
            print(f"warning: {new} (for {old}) was in use before")
    print(f"{changed} files changed")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
