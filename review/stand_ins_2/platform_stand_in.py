"""Stand-ins of the users' platform for the scripts of the second review.

Everything is written from the users' pages: the store, runners, the service that lists and operates
machines, and a requester. All of them listen on loopback addresses and run in one process, which
starts the entry instances as separate processes with the command of the deploy file.

Only the standard library of Python 3.11 is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "release", "nutmegcart")
HOST = "counts.example"

# Bounds of a small deployment, as DEPLOY.md shows them.
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-ms": 2000,
    "rollback-slack-ms": 250, "max-skew-ms": 5000, "recovery-s": 12, "hold-max-ms": 10000,
    "stop-ms": 400, "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "far-x": 2, "save-s": 0.5,
    "restore-ms": 600, "notice-ms": 4500, "move-s": 1.5, "upkeep-s": 2, "fencing": False,
    "lease-ms": 3000, "thaw-ms": 300, "pace-ms": 100, "harm-ms": 4000,
}
HEARTBEAT_S = 1.5

LOSE_ANSWER = "lose the answer"

# Errors of the stand-ins themselves.
ERRORS = []


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.rows = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, what, **fields):
        row = (round(self.now(), 3), what, fields)
        self.rows.append(row)
        text = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self.file.write(f"{row[0]:8.3f}  {what}  {text}\n")
        self.file.flush()
        return row[0]

    def of(self, what):
        return [(at, fields) for at, kind, fields in self.rows if kind == what]


async def read_message(reader):
    """Reads a request or a response with a body of known length."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server whose handler returns a status and a JSON body."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.address = None
        self.writers = set()
        # Whether the machine has lost its power: nothing is sent any more on its connections, and
        # what arrives on them after its return is answered with a reset.
        self.dark = False

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                if self.dark:
                    writer.transport.abort()
                    return
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                data = json.loads(body) if body else {}
                reply = await self.handler(method, url.path, query, headers, data)
                if reply == LOSE_ANSWER or self.dark:
                    # A connection on which an answer is lost returns nothing further.
                    await asyncio.sleep(30)
                    return
                status, answer = reply
                payload = b"" if answer is None else json.dumps(answer).encode()
                head = (
                    f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(payload)}\r\n\r\n"
                )
                writer.write(head.encode() + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        except Exception:
            # A fault of the stand-in; the case could not run.
            ERRORS.append(traceback.format_exc())
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self, dark=False):
        """Ends the server. The end of its process resets its connections; a loss of power sends
        nothing on them."""
        self.dark = dark
        if self.server:
            self.server.close()
        if not dark:
            for writer in list(self.writers):
                writer.transport.abort()


class Store:
    """The platform's key-value store (PROTOCOL.md, "The platform's metadata store")."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 100
        self.changed = asyncio.Condition()
        # Called with each transaction before it is carried out. It may return LOSE_ANSWER, or
        # ("late", seconds): no answer, and carried out later if its conditions still hold.
        self.on_txn = lambda body: None

    async def start(self, ip):
        self.server = Server(self.handle)
        self.address = await self.server.listen(ip)
        self.expiry = asyncio.create_task(self.expire())

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def write(self, key, value, lease=0):
        created = self.items[key]["created-rev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created-rev": created, "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, key, item))

    def delete(self, key):
        if self.items.pop(key, None):
            gone = {"key": key, "revision": self.revision, "removed": True}
            self.history.append((self.revision, key, gone))

    async def put(self, key, value):
        """Writes a key as the operator or a runner does."""
        self.revision += 1
        self.write(key, json.dumps(value).encode())
        await self.notify()

    async def remove(self, key):
        self.revision += 1
        self.delete(key)
        await self.notify()

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.delete(key)
        await self.notify()
        return True

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if now >= end]:
                await self.end_lease(lease)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.002)
        if path == "/api/kv-key":
            item = self.items.get(query.get("key"))
            return (200, item) if item else (404, {"store-revision": self.revision})
        if path == "/api/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "has-more": len(keys) > 500, "store-revision": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            conduct = self.on_txn(body)
            if isinstance(conduct, tuple):
                asyncio.create_task(self.carry_out_late(body, conduct[1]))
                return LOSE_ANSWER
            reply = await self.transact(body)
            return LOSE_ANSWER if conduct == LOSE_ANSWER else reply
        if path == "/api/kv-lease":
            self.last_lease += 1
            length = body["ttl-ms"] / 1000
            self.leases[self.last_lease] = (length, time.monotonic() + length)
            return 200, {"lease": self.last_lease, "ttl-ms": body["ttl-ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/api/kv-keep/"):
            if lease not in self.leases:
                return 404, None
            length, _ = self.leases[lease]
            self.leases[lease] = (length, time.monotonic() + length)
            return 200, {"ttl-ms": int(length * 1000)}
        return (200 if await self.end_lease(lease) else 404), None

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            events = [event for revision, key, event in self.history
                      if revision > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def carry_out_late(self, body, seconds):
        await asyncio.sleep(seconds)
        status, _ = await self.transact(body)
        self.record.add("store carried out a transaction late", status=status, after_s=seconds)

    async def transact(self, body):
        expected = body.get("expected", [])
        present = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(present(row["key"]) != row["revision"] for row in expected):
            found = [self.items.get(row["key"], {"key": row["key"], "revision": 0})
                     for row in expected]
            return 412, {"items": found, "revision": self.revision}
        puts = body.get("puts", [])
        if any(row.get("lease") and row["lease"] not in self.leases for row in puts):
            return 404, None
        self.revision += 1
        for row in puts:
            self.write(row["key"], base64.b64decode(row["value"]), row.get("lease") or 0)
        for key in body.get("deletes", []):
            self.delete(key)
        revision = self.revision
        await self.notify()
        return 200, {"revision": revision}


class Runner:
    """A runner (PROTOCOL.md, "Running work units"); one life after another at one address.

    The spec of a work unit is JSON with `ms`, its duration in milliseconds. A work unit without it
    lasts until it is stopped. `fail` lists the run numbers, counted over all runners, whose end is
    `failed` instead of `done`; with `only`, all runs but these last.
    """

    def __init__(self, record, store, name, service, *, machine=None, labels=("a", "r1-1"),
                 cpu=64000, mem=262144, guards=True):
        self.record, self.store, self.id, self.service = record, store, name, service
        self.machine, self.labels, self.cpu, self.mem = machine, list(labels), cpu, mem
        self.guards = guards
        self.state = "ready"
        self.unhealthy = False
        self.on_order = lambda path, body: None
        self.server = None
        self.beat = None
        self.demands = {}
        self.seq = 0

    async def start(self, ip, port=0):
        """Begins a new life."""
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic()
        self.fence, self.lease, self.seq = 0, 0, 0
        self.runs, self.ended, self.last_runs, self.ends = {}, [], {}, 0
        self.server = Server(self.handle)
        self.address = await self.server.listen(ip, port)
        self.up = True
        self.beat = asyncio.create_task(self.heartbeat())
        self.ticker = asyncio.create_task(self.tick())

    async def forget(self):
        """Removes the entry after three heartbeat intervals of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not self.up:
            await self.store.remove(f"servers/{self.id}")

    def crash(self, dark=False):
        """Ends the process; its entry stays in the store until its time is over."""
        self.up = False
        self.record.add("runner crashed", runner=self.id, dark=dark, running=sorted(self.runs))
        for task in (self.beat, self.ticker):
            task.cancel()
        self.server.stop(dark)
        self.runs = {}
        asyncio.create_task(self.forget())

    def entry(self):
        self.seq += 1
        entry = {"service": self.service, "address": self.address, "zone": "suva", "version": "v1",
                 "slots": 8, "state": self.state, "cold-remaining-ms": 0, "born": self.born,
                 "capacity": {"cpu": self.cpu, "mem-mb": self.mem, "gpu": 0},
                 "labels": self.labels, "clock-ms": self.clock(), "seq": self.seq}
        if self.machine:
            entry["machine"] = self.machine
        return entry

    async def heartbeat(self):
        while True:
            await self.store.put(f"servers/{self.id}", self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def clock(self):
        return int((time.monotonic() - self.clock_start) * 1000) + 1000

    def end(self, task, how):
        run = self.runs.pop(task)
        self.ends += 1
        self.last_runs[task] = max(self.last_runs.get(task, 0), run["run"])
        self.ended.append([self.ends, task, run["run"], how, ""])
        self.record.add("run ended", runner=self.id, task=task, run=run["run"], how=how)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.runs and self.clock() >= self.lease:
                for task in list(self.runs):
                    self.end(task, "lapsed")
            for task, run in list(self.runs.items()):
                if run["stop_at"] is not None and now >= run["stop_at"]:
                    self.end(task, "stopped")
                elif run["end_at"] is not None and now >= run["end_at"]:
                    self.end(task, "failed" if run["fails"] else "done")

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + BOUNDS["hold-max-ms"]))

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            return LOSE_ANSWER
        if path == "/healthz":
            return 200, None
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, None
        if path == "/api/hold":
            return await self.hold(body)
        if self.unhealthy:
            if path == "/api/run-start":
                self.record.add("start refused", runner=self.id, task=body["task"],
                                run=body["run"], status=503)
            return 503, None
        conduct = self.on_order(path, body)
        reply = self.start_run(body) if path == "/api/run-start" else self.order(path, body)
        return LOSE_ANSWER if conduct == LOSE_ANSWER else reply

    def refuse(self, reason):
        return 409, {"clock-ms": self.clock(), "born": self.born, "reason": reason}

    def check_fence(self, body):
        if body.get("fence", 0) < self.fence:
            return False
        self.fence = body.get("fence", 0)
        return True

    async def hold(self, body):
        if not self.check_fence(body):
            return self.refuse("fence")
        self.ended = [end for end in self.ended if end[0] > body.get("last-seen", 0)]
        if body.get("until-ms"):
            self.extend(body["until-ms"])
        end = time.monotonic() + body.get("wait-ms", 0) / 1000
        while not self.ended and time.monotonic() < end and self.up:
            await asyncio.sleep(0.005)
        return 200, {"clock-ms": self.clock(), "born": self.born, "running": self.running(),
                     "ended": self.ended[:500]}

    def running(self):
        rows = []
        for task, run in self.runs.items():
            age = time.monotonic() - run["at"]
            whole = (run["end_at"] - run["at"]) if run["end_at"] else 0.3
            rows.append([task, run["run"], "", min(100, int(100 * age / whole)), 0])
        return rows

    def used(self):
        return [sum(run["need"][index] for run in self.runs.values()) for index in (0, 1)]

    def start_run(self, body):
        task, number = body["task"], body["run"]
        if not self.check_fence(body):
            return self.refuse("fence")
        if number <= self.last_runs.get(task, 0):
            self.extend(body["until-ms"])
            return self.refuse("old")
        if body["until-ms"] <= self.clock():
            return self.refuse("late")
        if task in self.runs and self.runs[task]["run"] == number:
            return 200, {"clock-ms": self.clock(), "born": self.born}
        need = self.demands.get(task.split(".")[0], (1000, 100))
        used = self.used()
        if self.guards and (used[0] + need[0] > self.cpu or used[1] + need[1] > self.mem):
            self.extend(body["until-ms"])
            return self.refuse("room")
        self.extend(body["until-ms"])
        spec = json.loads(body["spec"])
        if spec.get("only") and number not in spec["fail"]:
            spec = {}
        now = time.monotonic()
        self.runs[task] = {
            "run": number, "at": now, "need": need, "stop_at": None,
            "end_at": now + spec["ms"] / 1000 if "ms" in spec else None,
            "fails": number in spec.get("fail", []),
        }
        self.record.add("run started", runner=self.id, task=task, run=number, labels=self.labels,
                        capacity=self.cpu, used=self.used()[0], fence=body.get("fence", 0))
        return 200, {"clock-ms": self.clock(), "born": self.born}

    def order(self, path, body):
        if not self.check_fence(body):
            return self.refuse("fence")
        task = body["task"]
        run = self.runs.get(task)
        if path == "/api/run-stop":
            if run and run["run"] <= body["run"] and run["stop_at"] is None:
                run["stop_at"] = time.monotonic() + 0.05
                self.record.add("stop ordered", runner=self.id, task=task, run=body["run"])
            self.last_runs[task] = max(self.last_runs.get(task, 0), body["run"])
        return 200, {"clock-ms": self.clock(), "born": self.born}


class Instance:
    """An entry instance: a process with the command of the deploy file."""

    def __init__(self, folder, number, ip, store, cloud):
        self.ip, self.name, self.process = ip, f"front-suva-{number}", None
        self.front, self.ready = f"{ip}:8624", f"{ip}:8622"
        self.settings = os.path.join(folder, f"{self.name}.json")
        self.log = os.path.join(folder, f"{self.name}.log")
        fields = {
            "node": self.name, "role": "entry", "machine-class": "front", "serves": ["front"],
            "ip": ip, "zone": "suva", "region": "viti", "zones": {"suva": "viti"},
            "listen": {"front": self.front, "ready": self.ready}, "port-range": [7060, 7075],
            "seeds": [], "bootstrap": True, "in-fault-budget": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform",
                          "advice", "upkeep", "sharing"],
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "rpc", "advice": None,
            "platform": {"address": store, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000,
                         "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
            "cloud": {"address": cloud, "rate-per-s": 64.0, "duties": [], "duty-per-s": 64.0}
            if cloud else None,
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(fields, file)

    async def start(self):
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            BINARY, "manage", "--metrics", "7061", cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "NUTMEGCART_SETTINGS": self.settings})

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class Cloud:
    """The service that lists, moves and maintains machines (PROTOCOL.md, "Machines")."""

    def __init__(self, record):
        self.record, self.machines, self.done = record, {}, set()
        self.on_call = lambda path, body: None
        self.on_end = None

    def add(self, name, pool, runner, labels, capacity):
        self.machines[name] = {"machine": name, "pool": pool, "state": "up", "zone": "suva",
                               "labels": list(labels), "capacity": capacity, "runner": runner}

    async def start(self, ip):
        self.server = Server(self.handle)
        self.address = await self.server.listen(ip)

    def listed(self, machine):
        row = {key: value for key, value in machine.items() if key != "runner"}
        runner = machine["runner"]
        if machine["state"] == "up" and runner and not runner.up:
            row["state"] = "down"
        row["id"] = runner.id if runner and runner.up and machine["state"] == "up" else None
        return row

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.002)
        conduct = self.on_call(path, body)
        if isinstance(conduct, int):
            return conduct, None
        if path == "/api/machines":
            rows = [self.listed(machine) for machine in self.machines.values()]
            return 200, {"machines": rows, "next-token": None}
        reply = self.operate(path, headers, body)
        self.record.add("machine order", path=path, machine=body["machine"],
                        to=body.get("pool", body.get("wave")), status=reply[0],
                        reason=(reply[1] or {}).get("reason"), holder=headers.get("x-lease-holder"),
                        answered=conduct != LOSE_ANSWER)
        return LOSE_ANSWER if conduct == LOSE_ANSWER else reply

    def operate(self, path, headers, body):
        machine = self.machines.get(body["machine"])
        if machine is None:
            return 400, None
        upkeep = path == "/api/machine-upkeep"
        key = (body["machine"], body.get("wave"))
        if upkeep and key in self.done and machine["state"] == "up":
            return 200, {}
        if not upkeep and machine["pool"] == body["pool"] and machine["state"] == "up":
            return 200, {}
        runner = machine["runner"]
        if machine["state"] != "up" or (runner and (not runner.up or runner.state != "ready")):
            return 409, {"reason": "busy"}
        machine["state"] = "upkeep" if upkeep else "moving"
        if upkeep:
            self.done.add(key)
        else:
            machine["pool"] = body["pool"]
        down = sorted(name for name, each in self.machines.items() if each["state"] == "upkeep")
        self.record.add("operation began", machine=body["machine"], kind=machine["state"],
                        down=down, ends=sorted(runner.runs) if runner and runner.up else [])
        if runner and runner.up:
            runner.crash()
        span = BOUNDS["upkeep-s"] if upkeep else BOUNDS["move-s"]
        asyncio.create_task(self.finish(machine, span))
        return 200, {}

    async def finish(self, machine, span):
        await asyncio.sleep(span)
        machine["state"] = "up"
        self.record.add("operation ended", machine=machine["machine"])
        if self.on_end:
            await self.on_end(machine)


class Case:
    """One run of a case, with its stand-ins, instances and record."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.record.add("case", trouble=self.trouble)
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.ips = set()
        self.instances, self.runners, self.configuration = [], [], None
        self.store, self.cloud = Store(self.record), Cloud(self.record)

    def ip(self):
        """Returns a loopback address that no other part uses."""
        while True:
            ip = "127.%d.%d.%d" % tuple(random.randint(2, 250) for _ in range(3))
            if ip not in self.ips:
                self.ips.add(ip)
                return ip

    async def begin(self, routes, services, instances=3, cloud=False):
        await self.store.start(self.ip())
        if cloud:
            await self.cloud.start(self.ip())
        await self.configure(1, routes, services)
        for number in range(1, instances + 1):
            address = self.cloud.address if cloud else None
            instance = Instance(self.temp, number, self.ip(), self.store.address, address)
            self.instances.append(instance)

    async def configure(self, version, routes, services):
        route = lambda prefix, service, more: {
            "name": "r-" + prefix.strip("/"), "host": HOST, "prefix": prefix,
            "route-type": "unsafe", "timeout-ms": 3000, "target-runtime-ms": 600, "priority": 0,
            "service": service, "max-attempts": 4, "stretch": 1.6, **more}
        self.configuration = {
            "version": version,
            "routes": [route(*each) for each in routes],
            "services": [{"name": name, "health-path": "/healthz", "max-conns": 64,
                          "protocol": "h1", "tls": False, "rejects-overload": True,
                          "spare": False, **more} for name, more in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
        await self.store.put("op/config", self.configuration)

    async def add_runner(self, name, service, **more):
        runner = Runner(self.record, self.store, name, service, **more)
        self.runners.append(runner)
        await runner.start(self.ip())
        return runner

    async def start_instances(self):
        for instance in self.instances:
            await instance.start()
        end = time.monotonic() + 15
        for instance in self.instances:
            while (await self.call(instance.ready, "GET", "/api/ready", quiet=True))[0] != 200:
                if time.monotonic() > end:
                    raise RuntimeError("the instances do not become ready")
                await asyncio.sleep(0.1)

    async def call(self, address, method, path, body=None, *, limit=3.2, quiet=False):
        """Makes a call as a requester; the status 0 means that there was no answer."""
        ip, port = address.split(":")
        payload = json.dumps(body).encode() if body is not None else b""
        sent = self.record.now()
        try:
            async with asyncio.timeout(limit):
                reader, writer = await asyncio.open_connection(ip, int(port))
                try:
                    head = (f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n"
                            f"content-type: application/json\r\nx-request-deadline: 3000\r\n"
                            f"content-length: {len(payload)}\r\n\r\n")
                    writer.write(head.encode() + payload)
                    line, _, answer = await read_message(reader)
                finally:
                    writer.close()
            status = int(line.split(" ")[1])
            try:
                answer = json.loads(answer) if answer else None
            except ValueError:
                answer = answer.decode("latin-1")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status, answer = 0, None
        if not quiet:
            self.record.add("call", to=address, method=method, path=path, sent=round(sent, 3),
                            status=status, answer=answer)
        return status, answer

    async def submit(self, prefix, job, steps, spec, *, instance=0, limit=3.2):
        for runner in self.runners:
            runner.demands[job] = (steps[0].get("cpu", 0), steps[0].get("mem-mb", 0))
        body = {"spec": json.dumps(spec), "steps": steps}
        return await self.call(self.instances[instance].front, "POST", prefix + job, body, limit=limit)

    async def wait_for(self, condition, seconds):
        """Waits until the condition holds; returns whether it does in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.01)
        return condition()

    def started(self, job):
        rows = self.record.of("run started")
        return [(at, row) for at, row in rows if row["task"].startswith(job)]

    def owner(self):
        """Returns the index of the instance that holds the cell, by the orders' fence (for logs)."""
        for key, item in self.store.items.items():
            if key.endswith("/owner"):
                text = base64.b64decode(item["value"])
                for index, instance in enumerate(self.instances):
                    if instance.name.encode() in text:
                        return index
        return None

    async def end(self):
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
            if instance.process:
                await instance.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def play(play_case, folder, seconds=110):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    async def main():
        case = Case(folder)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(seconds):
                broken = await play_case(case)
            if ERRORS:
                raise RuntimeError("a stand-in failed: " + ERRORS[0])
            case.record.add("verdict", broken=broken or "no")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError):
            case.record.add("could not run", error=traceback.format_exc())
            traceback.print_exc()
            return 2
        finally:
            await case.end()

    if not os.path.exists(BINARY):
        print("the program is not built", file=sys.stderr)
        sys.exit(2)
    status = asyncio.run(main())
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[status])
    sys.stdout.flush()
    os._exit(status)
