"""Rule FLOW: a route no longer names a service at whose backends its flows are open."""

import asyncio
import signal
import sys

from fleet import ACK, CannotRun, flow_name, main, route

FLOWS = 12
# Time between two requests on a flow; far below `idle-timeout-ms`.
PAUSE_S = 0.4
BUDGET_S = 2.5


async def keep_open(fleet, flow, stop, outcome):
    """Sends one request after another on an open flow."""
    count = 0
    while not stop.is_set():
        count += 1
        result = await flow.request("q-%d-%d" % (flow.key[1], count), BUDGET_S)
        outcome[flow.key] = result
        if result != "answered":
            fleet.record("request", count, "of flow", flow_name(flow.key), "ended:", result)
            return
        await asyncio.sleep(PAUSE_S)


async def case(fleet, trouble):
    old, new = "kodiva4", "marun7b"
    shop = route("r-shop", "198.18.0.1", 8443, None)
    del shop["service"]
    routes = [dict(shop, split=[{"service": old, "weight": 90}, {"service": new, "weight": 10}]),
              route("r-item", "198.18.0.2", 8443, new)]
    await fleet.start(2, [old, old, new, new], routes, [old, new])
    await fleet.ready()
    # The entries have run for longer than any time in which they hold back.
    await asyncio.sleep(8)

    flows, stop, outcome = [], asyncio.Event(), {}
    for index in range(FLOWS):
        flow = fleet.clients[index % len(fleet.clients)].flow(routes[0])
        if not await flow.open():
            raise CannotRun("a flow did not open: " + flow.state)
        flows.append(flow)
    tasks = [asyncio.ensure_future(keep_open(fleet, flow, stop, outcome)) for flow in flows]
    await asyncio.sleep(2)
    if any(flow.key not in fleet.flow_owner for flow in flows) or set(outcome.values()) != {"answered"}:
        raise CannotRun("the flows are not open and answered before the disruption")

    # The entry that most flows use is stopped as planned in both runs; its flows
    # come to the other entry. The routes change in the disturbed run only.
    if trouble:
        fleet.configure([dict(shop, service=new), routes[1]])
    await asyncio.sleep(5)
    used = {}
    for flow in flows:
        entry = fleet.router.select(flow.key)
        used[entry.name] = used.get(entry.name, 0) + 1
    name = max(used, key=used.get)
    fleet.record("entries of the flows:", used)
    node = fleet.nodes[name]
    node.signal(signal.SIGTERM)
    if await node.ended(6) is None:
        raise CannotRun("the entry did not end within its grace time")
    await asyncio.sleep(0.3)
    node.start()
    await asyncio.sleep(6)
    stop.set()
    await asyncio.gather(*tasks)

    broken = []
    for flow in flows:
        backend = fleet.flow_owner[flow.key]
        for at, seq, last, sender in flow.resets:
            if sender == "system" and flow.state == "reset" and backend.alive:
                broken.append("FLOW (a): the client of flow %s, open at %s of %s, got a reset of the system at %.3f "
                              "(seq %d, last ack %d)" %
                              (flow_name(flow.key), backend.name, backend.service, at, seq, last))
    stopped = fleet.check_running()
    if stopped:
        broken.append("FAULT: ended by themselves: " + ", ".join(stopped))
    fleet.record("flows answered to the end:", sum(1 for flow in flows if outcome[flow.key] == "answered"), "of", FLOWS)
    return broken


main(case, sys.argv[1])
