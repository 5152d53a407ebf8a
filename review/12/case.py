"""A crowd of callers that read slowly at one machine with 110 MB, beside ordinary callers with kept connections."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-3"))
from standin import *  # noqa: E402,F403

# Machine of tbd-hollow in SYSTEM.md: 110 MB, 4,100 descriptors.
RAM_MB = 110
# Callers of the crowd: two descriptors each are far fewer than the machine has.
CROWD = 1200
CROWD_ARRIVES_S = 6.0
# Bytes of a request: those of `contract-draft` on the sheet.
BODY_BYTES = 12000
READ_BYTES, READ_INTERVAL_S = 64, 1.0
ORDINARY_CALLERS = 20
RUN_S = 25.0
# The rule allows three.
ALLOWED_UNANSWERED = 3

ROUTES = [
    {"name": "draft", "host": "desk.example", "prefix": "/draft/", "type": "stream", "resumable": True,
     "timeout_ms": 25000, "goal_ms": 4000, "priority": 1, "service": "oleander-llm", "attempts": 3,
     "public": True, "itl_target_ms": 1000, "sticky": True},
    {"name": "booking", "host": "desk.example", "prefix": "/booking/", "type": "unsafe", "timeout_ms": 6000,
     "goal_ms": 400, "priority": 2, "service": "rack-desk", "attempts": 3, "public": True},
]


async def slow_reader(machine, record, statuses):
    """One of the crowd: one legal request of ordinary size, whose answer it reads slowly."""
    try:
        reader, writer = await asyncio.open_connection(machine.ip, machine.front, limit=READ_BYTES)
    except OSError:
        return
    try:
        request = new_id()
        writer.write(f"POST /draft/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {request}\r\n"
                     f"Deadline-Ms: 25000\r\nToken-Count: 11992,400\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode()
                     + b"x" * BODY_BYTES)
        await writer.drain()
        record.line(f"crowd sends {request}")
        first = await reader.read(READ_BYTES)
        statuses.append(first[9:12].decode("latin-1"))
        record.line(f"crowd is answered {statuses[-1] or 'nothing'} to {request}")
        while first and await reader.read(READ_BYTES):
            await asyncio.sleep(READ_INTERVAL_S)
    except OSError:
        pass
    finally:
        writer.close()


async def order_on(caller, end):
    while time.monotonic() < end:
        if await caller.send("POST", "/booking/a", {"Deadline-Ms": "6000"}, b"a rack") is None:
            await asyncio.sleep(0.2)


async def case(record):
    store = Store(record)
    port = await store.listen("edge-1")
    store.put("op", "config", configuration(3, ROUTES, [{"name": "oleander-llm"}, {"name": "rack-desk"}]))
    runners = [await Engine(store, record, f"i-llm-{number}", "oleander-llm").start() for number in range(12)]
    desks = [await Runner(store, record, f"i-desk-{number}", "rack-desk", slots=6, work_s=0.06).start()
             for number in range(3)]
    machine = Machine("edge-1", 0, port, ram_mb=RAM_MB)
    machine.start()
    tasks, callers, statuses, ends, peak = [], [], [], 0, 0.0
    try:
        await machine.wait_until_ready()
        await asyncio.sleep(1.0)
        begin = time.monotonic()
        callers = [Caller(machine, record) for _ in range(ORDINARY_CALLERS)]
        tasks += [asyncio.ensure_future(order_on(caller, begin + RUN_S)) for caller in callers]
        arrived = 0
        while time.monotonic() < begin + RUN_S:
            passed = time.monotonic() - begin - 2.0
            while TROUBLE and arrived < min(CROWD, CROWD * passed / CROWD_ARRIVES_S):
                tasks.append(asyncio.ensure_future(slow_reader(machine, record, statuses)))
                arrived += 1
            memory = machine.memory_mb()
            peak = max(peak, memory)
            if memory > RAM_MB:
                # What the platform does with a process that exceeds its memory.
                record.line(f"edge-1 has {memory:.1f} MB of {RAM_MB}: the platform kills its process")
                machine.process.kill()
                machine.process.wait()
                ends += 1
                break
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.5)
    finally:
        for task in tasks:
            task.cancel()
        machine.stop()
    ran = {request for desk in desks for _, request, _, _ in desk.runs}
    lost = [request for caller in callers for _, request in caller.unanswered if request in ran]
    answered = sum(caller.answered for caller in callers)
    text = (f"crowd {arrived}, statuses {({status: statuses.count(status) for status in set(statuses)})}, "
            f"peak {peak:.1f} MB of {RAM_MB}, ended {ends} times; ordinary orders answered {answered}, "
            f"of kept connections run and unanswered {len(lost)}")
    record.line(text)
    print(text)
    return len(lost) <= ALLOWED_UNANSWERED


run_case(case, FOLDER)
