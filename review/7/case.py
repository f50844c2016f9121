"""A zone is evacuated, and a replica there loses one stream: is it sent work again?"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import *  # noqa: E402,F403

EVACUATE_S = 5.0  # bounds.evacuate_ms
CUT_AFTER_S = 7.0  # after the acknowledgement


async def main(record, folder, trouble, instances):
    store = Store()
    arrivals = []
    engines = [await Engine(store, f"e-{i}", "drafts", "z-" + "ab"[i], record).start() for i in range(2)]
    for engine in engines:
        engine.peers = {other.name(): other for other in engines}
        engine.on_arrival = lambda e, req: arrivals.append((time.monotonic(), e.id, req.header("request-id"), req.header("kv-from")))
    evacuated, other = engines
    other.room = False  # its memory is in use by its own generations: it answers 503 to copies
    await store.put("op", "config", config(3, [route("draft", "streaming", "drafts", sticky=True, resume_streams=False, target_gap_ms=180)],
                                           [service("drafts", 282, ENGINE)]))
    for i in range(3):
        instance = Instance(folder, f"front-{i}", "z-" + "abc"[i], f"127.9.7.{i + 1}", await store.endpoint())
        instances.append(instance)
        await instance.start()
    for instance in instances:
        await instance.wait_ready()

    # Short requests before: the one stream that is lost is then within the share of answers that are lost.
    lengths = [engine.events for engine in engines]
    for engine in engines:
        engine.events = 3

    async def short(k):
        headers = [("Model", "m"), ("Token-Counts", "1460,1600"), ("Prompt-Prefix", f"5c1e07a2:800,91bd3f06:410,e4402c{k:02x}:250")]
        await call(instances[k % 3].front, "POST", "/draft/x", new_id(), headers, b"x" * 500, 39000)

    for begin in range(0, 80, 16):
        await asyncio.gather(*[short(k) for k in range(begin, begin + 16)])
    short_runs = {engine.id: len(engine.runs) for engine in engines}
    record("short requests run:", short_runs)
    if min(short_runs.values()) < 20:
        raise CannotRun("too few requests ran before")
    for engine, events in zip(engines, lengths):
        engine.events = events
    await asyncio.sleep(4)  # longer than contact_ms: all are in touch

    async def stream(k):
        ident = new_id()
        headers = [("Model", "m"), ("Token-Counts", "1460,1600"), ("Prompt-Prefix", f"5c1e07a2:800,91bd3f06:410,e4402b{k:02d}:250")]
        answer = await call(instances[k % 3].front, "POST", "/draft/x", ident, headers, b"x" * 500, 39000)
        record("client", ident, "status", answer.status, "complete" if answer.complete else "cut", answer.error or "")

    streams = [asyncio.create_task(stream(k)) for k in range(6)]
    await asyncio.sleep(1.5)
    running = [run for run in evacuated.runs.values() if run.works and run.total > 3]
    if not running:
        raise CannotRun("no generation was placed at e-0")
    if trouble:
        await store.put("op", "evacuate/z-a", {})
        record("the store acknowledged the evacuation of z-a, where e-0 is")
    acknowledged = time.monotonic()
    await asyncio.sleep(CUT_AFTER_S)
    run = next(run for run in running if run.works)
    record("engine e-0 loses the stream of", run.id)
    evacuated.cut_stream(run.id)
    await asyncio.gather(*streams)
    late = [a for a in arrivals if a[1] == evacuated.id and a[0] > acknowledged + EVACUATE_S] if trouble else []
    for at, _, ident, copy in late:
        record("EVAC: request", ident, "reached e-0", f"{at - acknowledged:.3f} s after the acknowledgement, Kv-From", copy)
    return 1 if late else 0


run(main)
