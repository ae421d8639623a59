"""Runs clang-tidy on translation units and remembers those that passed.

A translation unit that has passed is not analyzed again while everything that its verdict depends on is unchanged: the
contents of all files that it includes, its compile command, the checks, and the version of clang-tidy. A run of the
whole tree takes over ten minutes, most of it for units that have not changed.

Usage: lint.py BUILD_DIR FILE...
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

TIDY = "clang-tidy-16"


def cache_directory():
    base = os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache"
    return pathlib.Path(base) / "sapphiredale-lint"


def compile_commands(build):
    """Maps each source file, as an absolute path, to its working directory and arguments."""
    commands = {}
    for entry in json.loads((build / "compile_commands.json").read_text()):
        path = (pathlib.Path(entry["directory"]) / entry["file"]).resolve()
        commands[path] = (entry["directory"], shlex.split(entry["command"]))
    return commands


def dependencies(directory, arguments):
    """All files that the compiler reads for the unit."""
    kept = []
    skip = False
    for argument in arguments:
        if skip or argument == "-c":
            skip = False
        elif argument in ("-o", "-MF", "-MT"):
            skip = True
        elif argument != "-MD" and not argument.endswith("ccache"):
            kept.append(argument)
    rule = subprocess.run(kept + ["-M"], cwd=directory, capture_output=True, text=True, check=True).stdout
    return [name for name in rule.split(":", 1)[1].replace("\\\n", " ").split() if name]


class Linter:
    def __init__(self, build):
        self.build = build
        self.root = pathlib.Path.cwd()
        self.commands = compile_commands(build)
        self.cache = cache_directory()
        self.cache.mkdir(parents=True, exist_ok=True)
        version = subprocess.run([TIDY, "--version"], capture_output=True, text=True, check=True).stdout
        own = pathlib.Path(__file__).read_text()
        self.base = (version + (self.root / ".clang-tidy").read_text() + own).encode()

    def key(self, source):
        """Hash of everything that the verdict depends on; None if that is not known."""
        if source not in self.commands:
            return None
        directory, arguments = self.commands[source]
        digest = hashlib.sha256(self.base)
        # Paths relative to the checkout, so that another checkout of the same contents has the same key.
        digest.update(" ".join(arguments).replace(str(self.root), "").encode())
        try:
            names = dependencies(directory, arguments)
        except subprocess.CalledProcessError:
            return None
        for name in names:
            path = pathlib.Path(directory) / name
            digest.update(os.path.realpath(path).replace(str(self.root), "").encode())
            digest.update(path.read_bytes())
        return digest.hexdigest()

    def lint(self, file):
        """Whether the file passes; prints what is wrong if it does not."""
        key = self.key((self.root / file).resolve())
        if key is not None and (self.cache / key).exists():
            return True
        # A crash of clang-tidy is a plain failure of one file and leaves no file unverified.
        result = subprocess.run(
            [TIDY, "-p", str(self.build), "--quiet", file], capture_output=True, text=True, check=False
        )
        if result.returncode == 0:
            if key is not None:
                (self.cache / key).touch()
            return True
        print(result.stdout, result.stderr, f"lint failed: {file}", sep="\n", flush=True)
        return False


def main():
    linter = Linter(pathlib.Path(sys.argv[1]))
    with concurrent.futures.ThreadPoolExecutor(int(os.environ.get("LINT_JOBS", os.cpu_count()))) as pool:
        passed = list(pool.map(linter.lint, sys.argv[2:]))
    print(f"{passed.count(True)} files passed, {passed.count(False)} failed")
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
