"""The query of a request is changed on its way to the upstream."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import kit_2 as kit

# An apostrophe is a character that RFC 3986 allows in a query as it is ("sub-delims").
TARGETS = ["/sheets/find?name=it's", "/sheets/find?filter=zone%20eq%20'north'", "/orders/new?note=guest's"]
PLAIN_TARGETS = [target.replace("'", "%27") for target in TARGETS]


async def case(fleet, record):
    upstreams = [await fleet.upstream(f"s-{service}-{number}", service) for service in ("ledger", "orders")
                 for number in range(2)]
    await fleet.configure(1, {"r-sheets": kit.route("ledger", "/sheets/"),
                              "r-orders": kit.route("orders", "/orders/", "non_idempotent")}, ["ledger", "orders"])
    daemon = await fleet.daemon("front-1")
    daemon.start()
    await fleet.await_ready()
    await asyncio.sleep(3.5)
    sent = {}
    for number, target in enumerate((TARGETS if kit.TROUBLE else PLAIN_TARGETS) * 4):
        method = "POST" if target.startswith("/orders/") else "GET"
        request_id = f"request-{number}"
        sent[request_id] = (method, target)
        answer = await kit.send(record, daemon, method, target, request_id, body=b"tray" if method == "POST" else b"")
        if answer.status != 200:
            raise kit.CannotRun(f"{target} was answered with {answer.status}")
    runs = [request for upstream in upstreams for _, request in upstream.runs]
    changed = [request for request in runs if sent[request.id] != (request.method, request.target)]
    for request in changed:
        record.write("changed", id=request.id, sent=sent[request.id][1], run=request.target)
    record.write("count", run=len(runs), changed=len(changed))
    print(f"{len(changed)} of {len(runs)} requests were run with another query than the caller had sent")
    return not changed


kit.main(os.path.dirname(os.path.abspath(__file__)), case)
