"""A deterministic simulation of a site round real decision modules: one seeded scheduler, faults by
script."""
