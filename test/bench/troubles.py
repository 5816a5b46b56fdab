"""The faults (`troubles`) that a bench site can configure: for each kind its parameters and the
variants (`how`) that are useful for finding failures. Planned kinds are actions of operators or instances."""

CORE = ["leader", "seed", "reader", "power leader", "meet", "race", "hard", "leader race hard",
        "meet drain", "power race drain hard"]

# kind: (figures, variants, planned)
KINDS = {
    "burst": (dict(x=1.8, for_s=4.0), [""], False),
    "retry_abuse": (dict(share=0.2, x=4.0, for_s=5.0), [""], False),
    "give_up": (dict(share=0.3, for_s=5.0), [""], False),
    "srv_crash": (dict(share=0.15, for_s=4.5), ["", "dark", "gone", "dark gone"], False),
    "srv_slow": (dict(share=0.16, x=5.0, for_s=6.5), ["", "across"], False),
    "srv_flap": (dict(share=0.15, gap_s=1.4, for_s=6.5), [""], False),
    "srv_grey": (dict(share=0.15, x=0.45, for_s=6.5),
                 ["errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone"], False),
    "srv_lying_health": (dict(share=0.15, for_s=6.5), ["errors", "hang", "reset", "bad"], False),
    "srv_cut": (dict(share=0.2, for_s=6.5), ["", "fronts", "some", "some lossy", "one_way", "reset"], False),
    "idle_race": (dict(share=0.5, x=300.0, for_s=6.5), [""], False),
    "release": (dict(share=0.45, x=1.0, gap_s=1.0), [""], True),
    "replace_with_reuse": (dict(share=0.18), ["", "drain", "dark"], False),
    "scale_in": (dict(share=0.13), ["", "spot"], True),
    "scale_out": (dict(share=0.3, gap_s=2.0), [""], True),
    "answer_lost": (dict(share=0.5, x=0.04, for_s=5.0), ["", "reset"], False),
    "garble": (dict(share=0.45, x=0.03, for_s=5.5), ["", "extra", "extra late", "unframed", "early"], False),
    "node_kill": (dict(on="core", count=1, for_s=3.5), ["", "power"] + CORE, False),
    "node_freeze": (dict(on="core", count=1, for_s=4.0), ["", "leader", "race", "leader race hard"], False),
    "node_slow": (dict(share=0.15, x=5.0, for_s=5.0), ["", "leader"], False),
    "node_cut": (dict(share=0.18, for_s=5.5), ["", "all", "servers", "reset", "refuse"], False),
    "roll_term": (dict(share=0.45, x=1.0, gap_s=1.3), ["", "busy", "remove"], True),
    "herd_kill": (dict(share=0.6, for_s=2.0), ["", "power", "taken"], False),
    "after_ack_kill": (dict(for_s=3.0), ["", "kill", "timed", "taken", "taken gone"], False),
    "after_ack_wipe": (dict(for_s=3.0), ["", "timed", "taken", "oldest"], False),
    "clock_step": (dict(share=0.3, x=2400.0, for_s=6.0), ["back", "ahead"], False),
    "core_cut": (dict(count=1, for_s=5.5),
                 ["", "one_way", "seeds", "both", "reset", "refuse", "leader one_way", "meet", "race",
                  "leader race drain hard", "both race", "all", "near", "oldest", "lure", "all lure race hard",
                  "oldest meet drain"], False),
    "replace_core": (dict(x=1.0), ["", "planned", "oldest", "oldest planned"], False),
    "seed_turnover": (dict(), [""], False),
    "disk_slow": (dict(count=1, x=30.0, for_s=5.5), ["", "leader"], False),
    "disk_full": (dict(count=1, for_s=4.0), ["", "leader"], False),
    "disk_stall": (dict(count=1, for_s=4.0), ["", "leader"], False),
    "hup": (dict(share=0.4, gap_s=1.0), [""], True),
    "reset_conns": (dict(share=0.3, x=0.5), ["", "leader"], False),
    "ack_lost": (dict(x=0.7, for_s=8.0), [""], False),
    "config_change": (dict(), ["route", "weights", "timeout", "tenant", "quota", "idle"], True),
    "config_race": (dict(count=5, gap_s=0.7), ["", ], True),
    "bad_config": (dict(count=3, gap_s=0.8),
                   ["cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version",
                    "same_version", "stale_match", "shared_key"], True),
    "rollout_good": (dict(for_s=16.0), [""], True),
    "rollout_bad": (dict(for_s=16.0, share=0.5, gap_s=3.0),
                    ["errors", "slow", "under_load", "one_class", "late"], True),
    "purge": (dict(count=6, gap_s=0.8), ["", "tag"], True),
    "purge_storm": (dict(for_s=3.0, gap_s=0.05), ["", "tag"], True),
}


def every(services):
    """All kinds in all variants, in the form of a site's list `troubles`. Version rollouts are listed once for
    each service."""
    out = []
    for kind, (figures, hows, _) in KINDS.items():
        for how in hows:
            for service in services if kind.startswith("rollout") else [None]:
                t = dict(kind=kind, **figures)
                if how:
                    t["how"] = how
                if service:
                    t["service"] = service
                out.append(t)
    # the same loss on the complete core and on machines without replicas
    out.append(dict(kind="herd_kill", on="core", for_s=2.0, how="power"))
    out.append(dict(kind="herd_kill", on="core", for_s=2.0, how="taken all"))
    out.append(dict(kind="node_kill", share=0.2, for_s=3.0, how="power"))
    out.append(dict(kind="node_freeze", share=0.15, for_s=4.0))
    out.append(dict(kind="roll_term", on="core", share=1.0, x=1.0, gap_s=2.5))
    return out
