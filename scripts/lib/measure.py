"""Runs one measurement by name; see scripts/measure."""

import importlib
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))


def measurement_names():
    directory = os.path.join(os.path.dirname(os.path.abspath(__file__)), "measures")
    return sorted(f[:-3].replace("_", "-") for f in os.listdir(directory)
                  if f.endswith(".py") and not f.startswith("_"))


def main():
    arguments = sys.argv[1:]
    if arguments == ["--list"]:
        print("\n".join(measurement_names()))
        return
    seed = 1
    if "--seed" in arguments:
        index = arguments.index("--seed")
        seed = int(arguments[index + 1])
        del arguments[index:index + 2]
    if len(arguments) != 1 or arguments[0] not in measurement_names():
        sys.exit("usage: scripts/measure NAME [--seed N] | --list\nnames: " +
                 ", ".join(measurement_names()))
    module = importlib.import_module("measures." + arguments[0].replace("-", "_"))
    result = {"measurement": arguments[0], "seed": seed}
    result.update(module.run(seed))
    print(json.dumps(result))


if __name__ == "__main__":
    main()
