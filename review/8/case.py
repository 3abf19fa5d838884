"""An upstream says in its answers that it leaves, and a machine goes on sending it work."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import kit_2 as kit

DRAIN_S = 2.0
INTERVAL_S = 0.03
HEARTBEAT_S = 1.5


async def case(fleet, record):
    upstreams = [await fleet.upstream(f"s-orders-{number}", "orders", slots=2) for number in range(5)]
    leaver = upstreams[0]
    await fleet.configure(1, {"r-orders": kit.route("orders", "/orders/", "non_idempotent")}, ["orders"])
    daemons = [await fleet.daemon("front-1"), await fleet.daemon("front-2")]
    for daemon in daemons:
        daemon.start()
    await fleet.await_ready()
    await asyncio.sleep(3.5)

    tasks, stopped = [], asyncio.Event()

    async def callers():
        number = 0
        while not stopped.is_set():
            number += 1
            daemon = daemons[number % 2]
            tasks.append((daemon, f"order-{number}", asyncio.create_task(
                kit.send(record, daemon, "POST", "/orders/new", f"order-{number}", 1500, body=b"tray"))))
            await asyncio.sleep(INTERVAL_S)

    load = asyncio.create_task(callers())
    await asyncio.sleep(1)
    if kit.TROUBLE:
        # The upstream is partitioned from the store; requests still reach it.
        leaver.silent_to_store = True
        record.write("cut", upstream=leaver.name)
    cut_at = record.now()
    await asyncio.sleep(0.2)
    leaver.state = "draining"
    leaver.extra_headers = {"Server-Leaving": "1"}
    record.write("leaving", upstream=leaver.name)
    # The store removes the entry of a silent upstream after three heartbeat intervals.
    await asyncio.sleep(3 * HEARTBEAT_S - 0.2)
    await fleet.store.remove(f"servers/{leaver.name}")
    record.write("removed", upstream=leaver.name, after_s=f"{record.now() - cut_at:.2f}")
    await asyncio.sleep(1)
    stopped.set()
    await load
    run_by_leaver = {request.id: at for at, request in leaver.runs}
    passed_on, late = {}, []
    for daemon, request_id, task in tasks:
        answer = await task
        if answer.headers.get("server-leaving") == "1":
            # The request had been answered by the time at which the next one is sent.
            passed_on.setdefault(daemon.name, answer.sent_at + 1.5 * leaver.work_s)
        if request_id in run_by_leaver and daemon.name in passed_on \
                and answer.sent_at > passed_on[daemon.name] + DRAIN_S + 0.1:
            late.append((daemon.name, request_id, answer.sent_at - passed_on[daemon.name]))
    for name, request_id, seconds in late:
        record.write("late", daemon=name, id=request_id, sent_after_s=f"{seconds:.3f}")
    record.write("count", late=len(late), run_by_the_leaver_in_all=len(run_by_leaver))
    print(f"{len(late)} orders reached the leaving upstream, sent more than {DRAIN_S} s after the machine had passed on an "
          f"answer with Server-Leaving")
    return not late


kit.main(os.path.dirname(os.path.abspath(__file__)), case)
