"""Measures a deployment that examples/start.sh has started: idle cost, roll-outs, crashes.

Usage, from the root: python3 examples/measure.py DEPLOYMENT [CALLER...]

CALLERs are addresses to ask look-ups for. Each crash kills an entry VM and starts it again.
"""
import glob
import http.client
import json
import os
import re
import signal
import subprocess
import sys
import time

DEPLOYMENT = sys.argv[1]
CALLERS = sys.argv[2:] or [f"10.1.{k}.9" for k in range(12)]
ENV = dict(os.environ, PAPAYAHEAD_STORE="http://127.0.0.1:7000", PAPAYAHEAD_DEPLOYMENT=DEPLOYMENT)
SETTLE, IDLE, ROLLS, CRASHES = 15, 60, 20, 6
LIMIT = 40  # longest wait, in seconds, for look-ups to follow a crash


def run(*arguments):
    return subprocess.run(["bin/papayahead", *arguments], env=ENV, capture_output=True, text=True, check=True).stdout


def entries():
    """Returns name: (process, arguments, IP) of the deployment's entry VMs."""
    found = {}
    for path in glob.glob("/proc/[0-9]*/cmdline"):
        try:
            a = open(path).read().split("\0")[:-1]
        except OSError:
            continue
        if len(a) > 9 and a[1] == "entry" and a[a.index("--deployment") + 1] == DEPLOYMENT and a[0] == "bin/papayahead":
            ip = a[a.index("--callers") + 1].split(":")[0]
            found[a[a.index("--name") + 1]] = (int(path.split("/")[2]), a, ip)
    return found


def processor_time(p):
    f = open(f"/proc/{p}/stat").read().rsplit(")", 1)[1].split()
    return (int(f[11]) + int(f[12])) / os.sysconf("SC_CLK_TCK")


def measure_idle():
    time.sleep(SETTLE)
    all = sorted(entries().items())
    before = {n: processor_time(e[0]) for n, e in all}
    time.sleep(IDLE)
    for n, e in all:
        status = open(f"/proc/{e[0]}/status").read()
        resident = int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024
        print(f"idle {n}: {(processor_time(e[0]) - before[n]) / IDLE:.2%} of a core, {resident:.1f} MB")


def measure_rolls():
    bundle = json.load(open(f"examples/{DEPLOYMENT}.json"))
    for i in range(ROLLS):
        bundle["Comment"] = f"roll {time.time()}"
        file = "bin/run/roll.json"
        json.dump(bundle, open(file, "w"))
        digest = json.loads(run("bundle", "--operator", "ana", "--output", "json", "propose", file))["Digest"]
        run("bundle", "--operator", "berta", "review", digest)
        run("bundle", "--operator", "berta", "sign-off", digest)
        run("bundle", "--operator", "ana", "roll-out", digest)
        time.sleep(1.5)
    delays = {}
    for line in run("timeline", "--json", *(e[2] + ":8003" for e in entries().values())).splitlines():
        r = json.loads(line)
        if r["Name"] == "BundleInForce":
            delays.setdefault(r["Event"]["Sequence"], []).append(r["Event"]["DelayMilliseconds"])
    last = sorted(delays)[-ROLLS:]
    slowest = sorted(max(delays[s]) for s in last)
    whole = sum(len(delays[s]) == len(entries()) for s in last)
    print(f"rolls: {whole} of {ROLLS} in force on all; slowest daemon p50 {slowest[len(slowest) // 2]} ms, max {slowest[-1]} ms")


def look_ups(name, ips):
    """Returns how many look-ups of how many name the entry VM first, and at all."""
    lists = []
    for ip in ips:
        for c in CALLERS:
            h = http.client.HTTPConnection(ip, 8001, timeout=2)
            h.request("GET", f"/LookUp/{SERVICE}?Caller={c}")
            lists.append([e["Name"] for e in json.load(h.getresponse())["Entries"]])
            h.close()
    return sum(x[0] == name for x in lists), sum(name in x for x in lists), len(lists)


def measure_crash(name):
    e = entries()
    others = [x[2] for n, x in e.items() if n != name]
    process, arguments, _ = e[name]
    before = look_ups(name, others)
    os.kill(process, signal.SIGKILL)
    start = first = listed = time.time()
    while time.time() - start < LIMIT and time.time() - max(first, listed) < 3:
        f, l, _ = look_ups(name, others)
        now = time.time()
        first, listed = (now if f else first), (now if l else listed)
        time.sleep(0.05)
    print(f"crash of {name}, first in {before[0]} of {before[2]} look-ups: last named first after {first - start:.1f} s, last named after {listed - start:.1f} s")
    subprocess.Popen(arguments, stderr=open(f"bin/run/{name}.log", "a"))
    time.sleep(6)


SERVICE = json.load(open(f"examples/{DEPLOYMENT}.json"))["Services"][0]["Name"]
print("load averages", os.getloadavg())
measure_idle()
measure_rolls()
for i in range(CRASHES):
    measure_crash(f"entry-{i % 3 + 1}")
print("load averages", os.getloadavg())
