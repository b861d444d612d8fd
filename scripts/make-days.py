#!/usr/bin/env python3
"""Writes days for the users' bench: every kind of trouble alone, and in pairs.

Usage: make-days.py FOLDER SITE [PAIRS] [SEED]

Each day is a TOML file like a `[[day]]` of a site file. Kinds that belong to planned
work go under `plan`, the rest under `faults`. Times and pairs are drawn from the seed,
so that the same arguments give the same days.
"""
import random
import sys
import tomllib
from pathlib import Path

PLANNED = {"release", "scale_out", "scale_in", "roll_term", "config_change", "config_storm",
           "big_config", "hup"}
# Kind, variants of `how`, and further fields.
KINDS = [
    ("burst", [""], {"x": 1.8, "for_s": 5.0}),
    ("retry_abuse", [""], {"share": 0.4, "x": 3.0, "for_s": 6.0}),
    ("give_up", [""], {"share": 0.4, "for_s": 8.0}),
    ("srv_crash", ["", "dark", "gone"], {"share": 0.3, "for_s": 5.0}),
    ("srv_slow", [""], {"share": 0.3, "x": 8.0, "for_s": 6.0}),
    ("srv_grey", ["errors", "shed", "busy", "hang", "reset", "mute", "slow"],
     {"share": 0.4, "x": 0.5, "for_s": 6.0}),
    ("srv_lying_health", ["errors", "hang", "reset", "bad"], {"share": 0.3, "for_s": 6.0}),
    ("srv_flap", [""], {"share": 0.3, "gap_s": 1.0, "for_s": 8.0}),
    ("srv_cut", ["", "fronts", "some", "one_way", "reset"], {"share": 0.3, "for_s": 5.0}),
    ("release", [""], {"share": 0.6, "x": 1.0, "gap_s": 0.7}),
    ("replace_with_reuse", ["", "drain", "dark"], {"share": 0.3}),
    ("scale_out", [""], {"share": 0.3, "gap_s": 2.0}),
    ("scale_in", ["", "spot", "stay"], {"share": 0.2, "for_s": 5.0}),
    ("answer_lost", ["", "reset"], {"share": 0.6, "x": 0.2, "for_s": 6.0}),
    ("garble", ["", "extra", "extra late", "unframed", "early"],
     {"share": 0.6, "x": 0.1, "for_s": 6.0}),
    ("node_kill", ["", "power", "leader", "leader race", "meet drain"],
     {"share": 0.2, "for_s": 3.0}),
    ("node_freeze", [""], {"share": 0.2, "for_s": 4.0}),
    ("node_slow", [""], {"share": 0.3, "x": 5.0, "for_s": 6.0}),
    ("node_cut", ["", "all", "servers", "meet", "one_way"], {"share": 0.3, "for_s": 6.0}),
    ("core_cut", ["leader", "leader one_way", "leader race", "hard meet"],
     {"count": 1, "for_s": 5.0}),
    ("roll_term", ["", "busy"], {"share": 0.6, "x": 1.0, "gap_s": 1.2}),
    ("herd_kill", ["", "power"], {"share": 0.6, "for_s": 2.0}),
    ("after_ack_kill", ["", "kill", "timed"], {"for_s": 3.0}),
    ("clock_step", ["", "back", "ahead"], {"share": 0.5, "x": 3000.0, "for_s": 6.0}),
    ("lossy", [""], {"x": 0.05, "for_s": 6.0}),
    ("reset_conns", [""], {"share": 0.3, "x": 0.6}),
    ("hup", [""], {"share": 0.6, "gap_s": 2.0}),
    ("platform_down", ["silent", "busy", "reset", "nodes", "nodes busy meet", "nodes many",
                       "nodes reset"], {"share": 0.4, "for_s": 6.0}),
    ("platform_slow", [""], {"x": 60.0, "for_s": 5.0}),
    ("platform_lost", ["", "late"], {"x": 0.5, "for_s": 6.0}),
    ("platform_compact", ["", "drain"], {"x": 5.0, "for_s": 10.0}),
    ("config_change", ["route", "weights", "timeout", "idle"], {}),
    ("config_storm", [""], {"count": 6, "gap_s": 0.4}),
    ("big_config", [""], {"count": 400}),
]


def entry(kind, how, fields, at):
    parts = [f"at = {at:.2f}", f'kind = "{kind}"']
    if how:
        parts.append(f'how = "{how}"')
    if kind == "platform_down" and "nodes" not in how:
        fields = {name: value for name, value in fields.items() if name != "share"}
    parts += [f"{name} = {value}" for name, value in fields.items()]
    return "{ " + ", ".join(parts) + " }"


def day(name, seed, troubles, small):
    plan = [entry(*trouble) for trouble in troubles if trouble[0] in PLANNED]
    faults = [entry(*trouble) for trouble in troubles if trouble[0] not in PLANNED]
    # A change of the configuration now and then, so that there is one to be late with.
    plan.append(entry("config_change", "timeout", {}, 9.0 + seed % 5))
    plan.append(entry("config_change", "route", {}, 19.0 + seed % 4))
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}", "zero = 0.0", "one = 1.0"]
    if small:
        fields = ", ".join(f"{field} = {value}" for field, value in small.items())
        lines.append(f"small = {{ {fields} }}")
    for field, entries in (("plan", plan), ("faults", faults)):
        lines.append(f"{field} = [")
        lines += [f"  {text}," for text in entries]
        lines.append("]")
    return "\n".join(lines) + "\n"


def main():
    folder, site = Path(sys.argv[1]), Path(sys.argv[2])
    pairs = int(sys.argv[3]) if len(sys.argv) > 3 else 40
    draw = random.Random(int(sys.argv[4]) if len(sys.argv) > 4 else 1)
    # Days of a large site say how its small twin is made.
    small = tomllib.loads(site.read_text())["day"][0].get("small")
    folder.mkdir(parents=True, exist_ok=True)
    variants = [(kind, how, fields) for kind, hows, fields in KINDS for how in hows]
    for number, (kind, how, fields) in enumerate(variants):
        name = "one-" + "-".join([kind, *how.split()])
        first, second = draw.uniform(1.0, 8.0), draw.uniform(13.0, 22.0)
        troubles = [(kind, how, fields, first), (kind, how, fields, second)]
        (folder / f"{name}.toml").write_text(day(name, 1_000 + number, troubles, small))
    for number in range(pairs):
        chosen = draw.sample(variants, 2)
        start = draw.uniform(1.0, 18.0)
        troubles = [(*one, start + draw.uniform(0.0, 3.0)) for one in chosen]
        name = f"pair-{number:03d}-" + "-".join(kind for kind, _, _ in chosen)
        (folder / f"{name}.toml").write_text(day(name, 5_000 + number, troubles, small))


if __name__ == "__main__":
    main()
