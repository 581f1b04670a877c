#!/usr/bin/env python3
"""Writes days of random trouble: days.py SEED COUNT OUT [--grown]

Each day heaps planned work and faults of any kind around a few moments; --grown adds the kinds that only the
grown deployments know. The days fit any site: they name zones and services by their place (@z0, @s0).
"""
import argparse
import pathlib
import random

# For each kind: the ranges of its fields, and the variants ('how') that it is drawn from. A range of whole
# numbers draws a whole number. 'on', 'zone', 'to_zone' and 'service' hold lists to draw from.
ZONES = [None] + ['@z%d' % i for i in range(6)]
SERVICES = [None, None] + ['@s%d' % i for i in range(4)]

PLAN = {
    'roll_term': ({'share': (.3, 1.), 'x': [1., 1., 2.], 'gap_s': (.5, 2.5)}, ['', 'busy', 'leader', 'drain', 'meet', 'busy drain', 'hard']),
    'hup': ({'share': (.3, 1.), 'gap_s': (.3, 2.)}, []),
    'config_change': ({}, ['route', 'weights', 'timeout', 'idle', 'skew']),
    'config_storm': ({'for_s': (2., 6.), 'gap_s': (.2, 1.)}, []),
    'big_config': ({'count': (100, 500)}, []),
    'evacuate': ({'for_s': (4., 12.), 'zone': ZONES}, ['', 'warm']),
    'release': ({'share': (.2, .8), 'x': [1., 2., 3.], 'gap_s': (.3, 1.5), 'service': SERVICES}, []),
    'scale_in': ({'share': (.05, .3), 'service': SERVICES}, ['', 'spot', 'reclaim', 'stay']),
    'scale_out': ({'share': (.1, .4), 'gap_s': (.3, 2.), 'service': SERVICES}, []),
    'add_nodes': ({'count': (1, 1)}, []),
}
FAULTS = {
    'burst': ({'x': (1.3, 2.5), 'for_s': (2., 6.), 'zone': ZONES}, []),
    'shift': ({'share': (.3, .8), 'for_s': (2., 8.), 'zone': ZONES[1:4], 'to_zone': ZONES[4:]}, []),
    'retry_abuse': ({'share': (.2, .5), 'x': (2., 4.), 'for_s': (3., 7.)}, []),
    'give_up': ({'share': (.2, .5), 'x': [None, 150., 700., 1500.], 'for_s': (3., 7.)}, ['', 'once']),
    'srv_crash': ({'share': (.1, .4), 'for_s': (1.5, 6.), 'service': SERVICES}, ['', 'dark', 'gone', 'dark gone', 'across', 'dark across']),
    'srv_slow': ({'share': (.15, .5), 'x': (3., 12.), 'for_s': (3., 9.), 'service': SERVICES}, []),
    'srv_grey': ({'share': (.1, .5), 'x': (.2, .9), 'for_s': (3., 8.), 'service': SERVICES}, ['shed', 'shed all']),
    'replace_with_reuse': ({'share': (.1, .4)}, ['', 'drain', 'dark', 'side']),
    'cold_return': ({'for_s': (1.5, 5.), 'zone': ZONES}, ['', 'dark']),
    'answer_lost': ({'share': (.3, .8), 'x': (.02, .4), 'for_s': (3., 6.), 'service': SERVICES}, ['', 'reset']),
    'garble': ({'share': (.2, .8), 'x': (.02, .2), 'for_s': (3., 6.), 'service': SERVICES},
               ['', 'extra', 'unframed', 'early', 'extra late', 'unframed early', 'extra unframed early']),
    'node_kill': ({'share': (.15, .5), 'for_s': (.5, 4.), 'on': [None, 'core']},
                  ['', 'power', 'leader race drain', 'meet drain', 'seed', 'reader', 'turn', 'power meet', 'hard', 'power race drain']),
    'node_freeze': ({'share': (.15, .5), 'for_s': (1., 5.)}, ['', 'renewed', 'leader', 'reader', 'meet', 'drain', 'turn']),
    'node_slow': ({'share': (.15, .6), 'x': (3., 8.), 'for_s': (3., 7.)}, []),
    'herd_kill': ({'share': (.4, 1.), 'for_s': (.5, 3.)}, ['', 'power']),
    'core_cut': ({'count': [1, 1, 2], 'for_s': (2., 8.)},
                 ['', 'reset', 'one_way', 'refuse', 'leader race', 'split', 'all', 'near', 'seeds', 'both', 'relieve', 'meet drain',
                  'reset race drain', 'lure']),
    'node_cut': ({'share': (.15, .5), 'for_s': (2., 8.)}, ['', 'all', 'meet', 'reset', 'one_way', 'servers', 'servers reborn', 'all drain']),
    'region_loss': ({'for_s': (3., 7.)}, []),
    'zone_loss': ({'for_s': (2., 7.), 'zone': ZONES}, []),
    'zone_cut': ({'for_s': (2., 7.), 'zone': ZONES}, []),
    'lossy': ({'x': (.02, .1), 'for_s': (3., 7.), 'zone': ZONES}, []),
    'platform_down': ({'share': (.2, .8), 'for_s': (2., 9.)},
                      ['silent', 'busy', 'reset', 'silent lapse', 'busy lapse', 'reset lapse', 'nodes busy', 'nodes many', 'nodes reset',
                       'nodes', 'nodes leader', 'nodes busy revoke meet drain', 'nodes many revoke', 'nodes reset revoke drain']),
    'platform_slow': ({'x': (20., 100.), 'for_s': (3., 7.)}, []),
    'platform_lost': ({'x': (.2, .6), 'for_s': (3., 7.)}, ['', 'late']),
    'platform_compact': ({'x': (2., 6.), 'for_s': (3., 12.)}, ['', 'drain']),
    'after_ack_kill': ({'for_s': (.5, 4.)}, ['', 'kill', 'timed']),
    'clock_step': ({'share': (.2, .8), 'x': (500., 6000.), 'for_s': (2., 8.)}, ['', 'back', 'ahead']),
    'reset_conns': ({'share': (.2, 1.), 'x': (.3, 1.)}, ['', 'silent']),
}
GROWN = {
    'srv_grey': ({'share': (.1, .5), 'x': (.2, .9), 'for_s': (3., 8.), 'service': SERVICES},
                 ['errors', 'shed', 'busy', 'hang', 'reset', 'mute', 'slow', 'shed all', 'errors one_zone', 'busy all', 'reset all']),
    'srv_lying_health': ({'share': (.1, .3), 'for_s': (3., 7.), 'service': SERVICES}, ['errors', 'hang', 'reset', 'bad']),
    'srv_flap': ({'share': (.1, .3), 'for_s': (4., 8.), 'gap_s': (.6, 2.), 'service': SERVICES}, []),
    'idle_race': ({'share': (.3, 1.), 'x': (100., 1000.), 'for_s': (3., 9.)}, []),
}
CLOSINGS = [None, 'kind = "power_off_all"', 'kind = "kill_all"', 'kind = "wipe_after_ack"', 'kind = "power_off_all", how = "timed"']


class Day:
    """Draws the entries of one day."""

    def __init__(self, draw, kinds):
        self.draw, self.kinds = draw, kinds
        self.moments = [draw.uniform(.3, 28) for _ in range(draw.randrange(2, 6))]

    def at(self):
        """Returns a time, mostly near one of the day's moments."""
        if self.draw.random() < .3:
            return self.draw.uniform(.3, 29)
        return max(.2, min(29.5, self.draw.choice(self.moments) + self.draw.uniform(-1.5, 2.5)))

    def value(self, field):
        if isinstance(field, list):
            return self.draw.choice(field)
        low, high = field
        return self.draw.randint(low, high) if isinstance(low, int) else round(self.draw.uniform(low, high), 3)

    def entry(self, kinds):
        kind = self.draw.choice(list(kinds))
        fields, hows = kinds[kind]
        parts = ['at = %.2f' % self.at(), 'kind = "%s"' % kind]
        for name, field in fields.items():
            value = self.value(field)
            if value is not None:
                parts.append('%s = %s' % (name, '"%s"' % value if isinstance(value, str) else value))
        if hows:
            parts.append('how = "%s"' % self.draw.choice(hows))
        return '  { %s },' % ', '.join(parts)

    def text(self, name):
        closing = self.draw.choice(CLOSINGS)
        lines = ['name = "%s"' % name]
        if closing:
            lines.append('closing = { %s, down_s = %.2f }' % (closing, self.draw.uniform(.5, 1.5)))
        for list_name, kinds, low, high in (('plan', PLAN, 2, 7), ('faults', self.kinds, 3, 10)):
            lines += ['%s = [' % list_name] + [self.entry(kinds) for _ in range(self.draw.randrange(low, high))] + [']']
        return '\n'.join(lines) + '\n'


def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument('seed', type=int)
    options.add_argument('count', type=int)
    options.add_argument('out', type=pathlib.Path)
    options.add_argument('--grown', action='store_true')
    o = options.parse_args()
    draw = random.Random(o.seed)
    o.out.mkdir(parents=True, exist_ok=True)
    for i in range(o.count):
        name = 'random-%d-%02d' % (o.seed, i)
        (o.out / (name + '.toml')).write_text(Day(draw, {**FAULTS, **(GROWN if o.grown else {})}).text(name))


main()
