"""Rule FLOW: the time of day jumps on the machine of a new backend whose agent is restarted."""

import asyncio
import signal
import sys

from fleet import CannotRun, flow_name, main, route

# clock_step: x (2000) ms.
STEP_S = 2.0
FLOWS = 24
# Time from the start of the backend to the SIGTERM of its agent.
ROLL_AT_S = 1.45
# A pause of the clients, shorter than `idle-timeout-ms` and longer than `stable-window-ms`.
PAUSE_S = 7.0


async def case(fleet, trouble):
    service = "kodiva4"
    shop = route("r-shop", "198.18.0.1", 8443, service)
    await fleet.start(2, [service, service], [shop], [service])
    await fleet.ready()
    await asyncio.sleep(8)

    # A backend is added, as in a release. On its machine the time of day has
    # jumped ahead, and jumps back after the backend has started.
    node, backend = fleet.add_side(service)
    node.start()
    await asyncio.sleep(0.3)
    if trouble:
        backend.clock_ahead_s = STEP_S
        fleet.record("the time of day of", node.name, "jumps ahead by", STEP_S, "s, and back after its backend started")
    started = fleet.record.now()
    await backend.start()
    await asyncio.sleep(0.4)

    # Clients keep flows open for many requests, with pauses between them.
    flows = []
    for index in range(FLOWS):
        flow = fleet.clients[index % len(fleet.clients)].flow(shop)
        if not await flow.open() or await flow.request("q-first-%d" % index, 2.5) != "answered":
            raise CannotRun("a flow did not open: " + flow.state)
        flows.append(flow)
    held = [flow for flow in flows if fleet.flow_owner.get(flow.key) is backend]
    fleet.record("flows open at the new backend:", len(held), "of", FLOWS)
    if not held:
        raise CannotRun("no flow came to the new backend")

    # Planned work in both runs: the agent is stopped and started again.
    await asyncio.sleep(max(0, started + ROLL_AT_S - fleet.record.now()))
    node.signal(signal.SIGTERM)
    if await node.ended(6) is None:
        raise CannotRun("the agent did not end within its grace time")
    node.start()
    await asyncio.sleep(PAUSE_S)

    results = await asyncio.gather(*(flow.request("q-second-%d" % index, 2.5) for index, flow in enumerate(flows)))
    broken = []
    for flow, result in zip(flows, results):
        owner = fleet.flow_owner[flow.key]
        for at, seq, last, sender in flow.resets:
            if sender == "system" and flow.state == "reset" and owner.alive:
                broken.append("FLOW (a): the client of flow %s, open at %s, got a reset of the system at %.3f (seq %d, "
                              "last ack %d)" % (flow_name(flow.key), owner.name, at, seq, last))
        fleet.record("request on flow", flow_name(flow.key), "at", owner.name, "ended:", result)
    stopped = fleet.check_running()
    if stopped:
        broken.append("FAULT: ended by themselves: " + ", ".join(stopped))
    return broken


main(case, sys.argv[1])
