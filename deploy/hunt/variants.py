#!/usr/bin/env python3
"""Writes variants of site files: variants.py SITES OUT

SITES is the folder of the site files, OUT where the variants go. Each variant changes what a deployment may
differ in: slots, idle timeouts, links, distances, entry VMs, objects, bounds, speeds of targets.
"""
import pathlib
import re
import shutil
import sys


def times(factor):
    """Returns a replacement that multiplies the counts in what it matches."""
    def scale(match):
        return re.sub(r'count = (\d+)', lambda n: 'count = %d' % max(1, int(int(n[1]) * factor)), match[0])
    return scale


SERVERS = r'servers = \[.*?\]'

VARIANTS = {
    'slots1': [(r'slots = 3, queue = 9', 'slots = 1, queue = 3'), (r'load_header = true', 'load_header = false'),
               (SERVERS, times(3))],
    'slots8': [(r'slots = 3, queue = 9', 'slots = 8, queue = 24'), (r'idle_close_ms = 10000', 'idle_close_ms = 1500'),
               (r'cold_s = 3.0', 'cold_s = 8.0'), (SERVERS, times(0.5))],
    'narrow': [(r'link_mbps = \d+\.0', 'link_mbps = 10.0'), (r'region_mbps = \d+\.0', 'region_mbps = 40.0')],
    'far': [(r'cross_region_ms = 35.0', 'cross_region_ms = 90.0'), (r'client_ms = 8.0', 'client_ms = 30.0')],
    'many': [(r'machines = \[.*?\n\]', times(2))],
    'objects': [(r'things = 24', 'things = 300'), (r'skew = 0.2', 'skew = 0.9')],
    'tight': [(r'drain_ms = 2500(\.0)?', 'drain_ms = 2000'), (r'config_ms = 2500(\.0)?', 'config_ms = 2000'),
              (r'grace_s = 6.0', 'grace_s = 5.0'), (r'touch_ms = 4000', 'touch_ms = 3000')],
    'speeds': [(r'speeds = \[\]', 'speeds = [0.5, 1.0, 1.0, 2.0]'), (r'knee = 1.0, knee_x = 1.0', 'knee = 0.7, knee_x = 2.0'),
               (r'conn_cap = \d+', 'conn_cap = 60')],
    'limits': [(r'cpu_share = 0\.\d+', 'cpu_share = 0.12'), (r'memory_mb = \d+', 'memory_mb = 96'), (r'fds = \d+', 'fds = 900')],
}


def main(sites, out):
    out.mkdir(parents=True, exist_ok=True)
    for name in ('wire.json', 'CUT'):
        shutil.copy(sites / name, out)
    for site in sites.glob('*.toml'):
        for variant, changes in VARIANTS.items():
            text = site.read_text()
            for pattern, replacement in changes:
                text, n = re.subn(pattern, replacement, text, flags=re.S)
                if n == 0:
                    sys.exit('%s: nothing matches %s' % (site.name, pattern))
            (out / ('%s-%s.toml' % (site.stem, variant))).write_text(text)


main(pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]))
