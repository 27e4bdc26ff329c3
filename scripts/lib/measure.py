"""Runs one measurement by name; see scripts/measure."""

import importlib
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))


def names():
    folder = os.path.join(os.path.dirname(os.path.abspath(__file__)), "measures")
    return sorted(f[:-3].replace("_", "-") for f in os.listdir(folder)
                  if f.endswith(".py") and not f.startswith("_"))


def main():
    arguments = sys.argv[1:]
    if arguments == ["--list"]:
        print("\n".join(names()))
        return
    seed = 1
    if "--seed" in arguments:
        at = arguments.index("--seed")
        seed = int(arguments[at + 1])
        del arguments[at:at + 2]
    if len(arguments) != 1 or arguments[0] not in names():
        sys.exit("usage: scripts/measure NAME [--seed N] | --list\nnames: " +
                 ", ".join(names()))
    module = importlib.import_module("measures." + arguments[0].replace("-", "_"))
    result = {"measurement": arguments[0], "seed": seed}
    result.update(module.run(seed))
    print(json.dumps(result))


if __name__ == "__main__":
    main()
