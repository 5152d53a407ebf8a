"""What the cases about a part of a prompt that crashes runners have in common."""

from standin import *  # noqa: F403

GUILTY_PART = "6b1d0000"
# `contact_ms` of cckc-router, and the requests with the part that may reach runners later than that after the
# fifth crash.
CONTACT_S = 4.0
ALLOWED_ARRIVALS = 3
MACHINES = 3
RUNNERS = 9
SOUND_PER_S = 8.0
GUILTY_GAP_S = 1.5
EVENTS = 10
EVENT_GAP_S = 0.05

ROUTES = [
    {"name": "plan", "host": "desk.example", "prefix": "/plan/", "type": "stream", "resumable": True,
     "timeout_ms": 25000, "goal_ms": 4000, "priority": 1, "service": "menu-writer", "attempts": 3,
     "public": True, "itl_target_ms": 1000, "sticky": True},
]


class PartRunner(CrashingRunner):
    """A model runner that crashes when it begins to write an answer on the guilty part."""

    # Whether answers have chunks; without, they end with their connection.
    is_framed = True
    # Time from the request to the head of the answer, and from there to the first event.
    head_s, first_event_s = 0.15, 0.0
    # Events that are written before the crash.
    events_before_crash = 0
    # Since when the part crashes runners.
    guilty_since = 0.0

    def __init__(self, store, record, name, arrivals, crashes):
        super().__init__(store, record, name, "menu-writer", slots=64, handle=PartRunner.answer)
        self.arrivals, self.crashes = arrivals, crashes

    async def answer(self, head, reader, writer):
        headers, born = head[1], self.born
        await read_body(reader, headers)
        has_part = GUILTY_PART in headers.get("prefix-hash", "")
        if has_part:
            self.arrivals.append(now())
        self.record.line(f"runner {self.name} gets {headers.get('attempt-id')}{' with the part' if has_part else ''}")
        await asyncio.sleep(self.head_s)
        framing = "Transfer-Encoding: chunked\r\n" if self.is_framed else ""
        writer.write(f"HTTP/1.1 200 OK\r\n{self.seal(headers)}Content-Type: text/event-stream\r\n{framing}\r\n".encode())
        await writer.drain()
        await asyncio.sleep(self.first_event_s)
        crashes = TROUBLE and has_part and now() >= self.guilty_since
        last = int(headers.get("last-event-id", "0"))
        for number in range(last + 1, EVENTS + 1):
            if self.born != born or writer.is_closing():
                return False
            if crashes and number - last > self.events_before_crash:
                self.crash()
                return False
            event = f"id: {number}\ndata: a piece of the plan\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n" if self.is_framed else event)
            await writer.drain()
            await asyncio.sleep(0.005 if crashes else EVENT_GAP_S)
        if self.is_framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return self.is_framed


async def ask(machine, record, answers, has_part):
    """One request; those with the part share the other parts with sound ones."""
    request = new_id()
    parts = ["aa010000:400", "bb020000:120", f"{request[:8]}:30"]
    if has_part:
        parts.insert(1, f"{GUILTY_PART}:50")
    try:
        answer = await call(machine.ip, machine.front, "POST", "/plan/a",
                            {"Attempt-Id": request, "Deadline-Ms": "25000", "Token-Count": "600,60", "Model": "m1",
                             "Prefix-Hash": ",".join(parts)}, b"x" * 100, timeout=20.0)
    except OSError:
        answer = None
    kind = ("with the part" if has_part else "sound", answer[0] if answer else None)
    answers[kind] = answers.get(kind, 0) + 1
    record.line(f"{machine.name} answers {kind[1]} to {request} ({kind[0]})")


async def play(record, run_s, guilty_after_s=0.0):
    """Plays the traffic and judges the arrivals; `guilty_after_s` from its begin the part crashes runners."""
    store, machines, answers, tasks, arrivals, crashes = Store(record), [], {}, [], [], []
    for index in range(MACHINES):
        name = f"edge-{index + 1}"
        machines.append(Machine(name, index, await store.listen(name), ram_mb=260))
    store.put("op", "config", configuration(3, ROUTES, [{"name": "menu-writer"}]))
    runners = [await PartRunner(store, record, f"i-llm-{number}", arrivals, crashes).start() for number in range(RUNNERS)]
    try:
        for machine in machines:
            machine.start()
        for machine in machines:
            await machine.wait_until_ready()
        await asyncio.sleep(3.0)
        begin, sound, guilty = now(), 0, 0
        PartRunner.guilty_since = begin + guilty_after_s
        while now() < begin + run_s:
            passed = now() - begin
            while sound < passed * SOUND_PER_S:
                tasks.append(asyncio.ensure_future(ask(random.choice(machines), record, answers, False)))
                sound += 1
            while guilty < passed / GUILTY_GAP_S:
                tasks.append(asyncio.ensure_future(ask(random.choice(machines), record, answers, True)))
                guilty += 1
            await asyncio.sleep(0.02)
        await asyncio.sleep(2.0)
    finally:
        for task in tasks:
            task.cancel()
        for machine in machines:
            machine.stop()
    late = [at for at in arrivals if len(crashes) >= 5 and at > crashes[4] + CONTACT_S]
    text = (f"requests {sound} sound, {guilty} with the part; answers {answers}; crashes {len(crashes)}; with the part "
            f"reached runners {len(arrivals)} times, {len(late)} later than {CONTACT_S} s after the fifth crash")
    record.line(text)
    print(text)
    return len(late) <= ALLOWED_ARRIVALS
