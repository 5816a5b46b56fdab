"""Random days drawn from a seed: many faults of all kinds at random times, some several times.

For each day a few kinds are drawn first, and most of its faults from these, so that the same kind
occurs repeatedly; kinds that affect control are drawn more often than the others."""
import random

import troubles

CONTROL = ["node_kill", "node_freeze", "roll_term", "herd_kill", "after_ack_kill", "after_ack_wipe",
           "clock_step", "core_cut", "replace_core", "seed_turnover", "disk_slow", "disk_full",
           "disk_stall", "hup", "reset_conns", "ack_lost", "node_cut", "node_slow"]
ORDERS = ["config_change", "config_race", "bad_config", "purge", "purge_storm", "rollout_good", "rollout_bad"]
CLOSING = [("wipe_after_ack", ["", "aimed", "timed", "taken", "oldest"]),
           ("power_off_all", ["", "timed", "taken"]), ("kill_all", ["", "timed", "taken"])]
LENGTHS = (32.0, 45.0, 70.0)
GAP_S = (3.0, 9.0)          # between two faults that affect control
CALM_END_S = 4.0            # no fault begins within this time before the end
CHANCE_OF_CLOSING = 0.6
CHANCE_OF_ANY_KIND = 0.35   # otherwise one of the day's favourite kinds


def one(chance, kind, at, services):
    figures, hows, planned = troubles.KINDS[kind]
    entry = dict(kind=kind, at=round(at, 3), **figures)
    if "for_s" in entry and kind not in ("rollout_good", "rollout_bad"):
        entry["for_s"] = round(entry["for_s"] * chance.uniform(0.4, 2.5), 2)
    how = chance.choice(hows)
    if how:
        entry["how"] = how
    if kind.startswith("rollout"):
        entry["service"] = chance.choice(services)
    return entry, planned or how.endswith("planned")


def draw(seed, services, known):
    """A day: (name, seconds, plan, faults, closing). `known`: the kinds that the site supports; None: all."""
    chance = random.Random(seed)

    def has(kinds):
        return [k for k in kinds if known is None or k in known]
    seconds = chance.choice(LENGTHS)
    control, orders = has(CONTROL), has(ORDERS)
    others = has(sorted(set(troubles.KINDS) - set(CONTROL) - set(ORDERS)))
    favourites = chance.sample(control, 4)
    plan, faults = [], []

    def add(kind, at):
        entry, planned = one(chance, kind, at, services)
        (plan if planned else faults).append(entry)
    at = chance.uniform(0.2, 4.0)
    while at < seconds - CALM_END_S:
        add(chance.choice(control if chance.random() < CHANCE_OF_ANY_KIND else favourites), at)
        at += chance.uniform(*GAP_S)
    for _ in range(chance.randint(2, 5)):
        add(chance.choice(orders), chance.uniform(0.5, seconds - CALM_END_S))
    for _ in range(chance.randint(0, 4)):
        add(chance.choice(others), chance.uniform(0.5, seconds - CALM_END_S))
    plan.append(dict(kind="config_race", at=2.0, count=int(seconds) - 6, gap_s=1.0))
    closing = None
    if chance.random() < CHANCE_OF_CLOSING:
        kind, hows = chance.choice(CLOSING)
        closing = dict(kind=kind, down_s=round(chance.uniform(0.3, 2.5), 2))
        if how := chance.choice(hows):
            closing["how"] = how
    return "drawn-%d" % seed, seconds, plan, faults, closing
