#!/usr/bin/env python3
"""Plays days of deployments with each mechanism of the steering switched off: ablate.py BENCH OUT SITE... [options]

Each mechanism is played on the standard days with trouble of each site, with other seeds too, processor time not
charged. OUT gets one line of CSV a day as it ends and, at the end, a table in Markdown: the mean worth without a mechanism
less that with all, and the spread of that difference over the seeds.
"""
import argparse
import concurrent.futures
import csv
import pathlib
import re
import shutil
import statistics
import subprocess
import tempfile
import threading

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAYS = ['trouble-1', 'scale-1', 'trouble-2', 'scale-2', 'trouble-3']
WORTH = re.compile(r'^worth (-?[0-9.]+) =', re.M)


def mechanisms():
    """The names of the fields of pasteer.Off."""
    text = (ROOT / 'pasteer' / 'off.go').read_text()
    body = text.split('type Off struct {')[1].split('}')[0]
    names = []
    for line in body.splitlines():
        line = line.split('//')[0].strip()
        if line.endswith(' bool'):
            names += [n.strip() for n in line[:-len(' bool')].split(',')]
    return names


def copy(out, name):
    """A scratch copy of the tree in which the mechanism is off."""
    to = out / name
    subprocess.run(['git', 'clone', '-q', str(ROOT), str(to)], check=True)
    if name != 'All':
        deploy = to / 'deploy' / 'system.toml'
        deploy.write_text(deploy.read_text().replace('papayahead gate"', 'papayahead gate --off %s"' % name))
    return to


def play(bench, tree, site, day, seed, options):
    """The worth of one day, or None if it broke a rule or did not end."""
    command = [bench, 'run', site, day, '--no-cpu', '--why', 'ablation: %s' % tree.name] + options
    if seed:
        command += ['--vary', '--seed', str(seed)]
    text = subprocess.run(command, cwd=tree, capture_output=True, text=True).stdout
    found = WORTH.search(text)
    return float(found.group(1)) if found else None


def table(rows, sites, names):
    """A row a mechanism, a column a site: difference of the means, and the spread over seeds."""
    lines = ['| off | ' + ' | '.join(pathlib.Path(s).stem for s in sites) + ' |', '|---' * (len(sites) + 1) + '|']
    for name in names:
        cells = []
        for site in sites:
            by_seed = []
            for seed in sorted({r[3] for r in rows if r[1] == site}):
                with_all = {r[2]: r[4] for r in rows if r[:2] == ('All', site) and r[3] == seed and r[4] is not None}
                without = {r[2]: r[4] for r in rows if r[:2] == (name, site) and r[3] == seed and r[4] is not None}
                days = with_all.keys() & without.keys()
                if days:
                    by_seed.append(statistics.mean(without[d] for d in days) - statistics.mean(with_all[d] for d in days))
            if not by_seed:
                cells.append('not run')
            else:
                cells.append('%+.3f (%+.3f to %+.3f)' % (statistics.mean(by_seed), min(by_seed), max(by_seed)))
        lines.append('| %s | %s |' % (name, ' | '.join(cells)))
    return '\n'.join(lines)


def main():
    p = argparse.ArgumentParser(description=__doc__)
    p.add_argument('bench')
    p.add_argument('out', type=pathlib.Path, help='CSV file; the table goes beside it as .md')
    p.add_argument('sites', nargs='+')
    p.add_argument('--only', help='mechanisms, separated by commas')
    p.add_argument('--seeds', default='0,11,12', help='0 is the standard day')
    p.add_argument('--days', default=','.join(DAYS))
    p.add_argument('--jobs', type=int, default=3)
    p.add_argument('--small', action='store_true', help='small twins of large days')
    a = p.parse_args()
    names = a.only.split(',') if a.only else mechanisms()
    options = ['--small'] if a.small else []
    scratch = pathlib.Path(tempfile.mkdtemp(prefix='ablation-'))
    trees = {n: copy(scratch, n) for n in ['All'] + names}
    for t in trees.values():
        subprocess.run([a.bench, 'build'], cwd=t, check=True, capture_output=True)
    todo = [(n, s, d, int(e)) for s in a.sites for d in a.days.split(',') for e in a.seeds.split(',') for n in ['All'] + names]
    rows, lock = [], threading.Lock()
    with a.out.open('w', newline='') as f:
        w = csv.writer(f)

        def one(n, s, d, e):
            worth = play(a.bench, trees[n], s, d, e, options)
            with lock:
                rows.append((n, s, d, e, worth))
                w.writerow((n, pathlib.Path(s).stem, d, e, worth))
                f.flush()

        with concurrent.futures.ThreadPoolExecutor(a.jobs) as pool:
            for r in [pool.submit(one, *x) for x in todo]:
                r.result()
    for t in trees.values():
        for j in (t / 'journal').glob('*.json'):
            if not (ROOT / 'journal' / j.name).exists():
                shutil.copy(j, ROOT / 'journal' / j.name)
        for j in (t / 'journal' / 'blobs').glob('*'):
            if not (ROOT / 'journal' / 'blobs' / j.name).exists():
                shutil.copy(j, ROOT / 'journal' / 'blobs' / j.name)
    text = table(rows, a.sites, names)
    a.out.with_suffix('.md').write_text(text + '\n')
    print(text)
    shutil.rmtree(scratch)


if __name__ == '__main__':
    main()
