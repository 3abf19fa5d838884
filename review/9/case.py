"""A failure of an upstream that has run an order is passed on as the promise that it has not run."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import kit_2 as kit

PROMISES = (408, 421, 429, 503)
ORDERS = 40
FAILED_SHARE = 0.4


async def case(fleet, record):
    upstreams = [await fleet.upstream(f"s-orders-{number}", "orders") for number in range(8)]
    grey = upstreams[0]
    await fleet.configure(1, {"r-orders": kit.route("orders", "/orders/", "non_idempotent")}, ["orders"])
    daemon = await fleet.daemon("front-1")
    daemon.start()
    await fleet.await_ready()
    await asyncio.sleep(3.5)
    count = 0

    async def fail_some(request):
        """Runs the order, and then fails two in five: its own dependency is away."""
        nonlocal count
        count += 1
        await asyncio.sleep(grey.work_s)
        if count * FAILED_SHARE % 1 >= FAILED_SHARE:
            return 200, {}, b"done\n"
        return 503, {"Response-Seal": "3e1b.07." + request.id}, b"the order was written, its receipt was not\n"

    if kit.TROUBLE:
        grey.answer = fail_some
    answers = {}
    for number in range(ORDERS):
        request_id = f"order-{number}"
        answers[request_id] = await kit.send(record, daemon, "POST", "/orders/new", request_id, 1500, body=b"tray")
        await asyncio.sleep(0.1)
    run = {request.id for upstream in upstreams for _, request in upstream.runs}
    false_promises = [request_id for request_id, answer in answers.items()
                      if request_id in run and answer.status in PROMISES]
    for request_id in false_promises:
        record.write("promise", id=request_id, status=answers[request_id].status)
    record.write("count", run=len(run), answered_as_not_run_though_run=len(false_promises))
    print(f"{len(false_promises)} orders that were run were answered with a status that promises that they were not")
    return not false_promises


kit.main(os.path.dirname(os.path.abspath(__file__)), case)
