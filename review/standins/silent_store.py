"""Rule CONFIG: the open connections to the store go silent, then a route is removed."""

import asyncio
import sys

from fleet import main, route

# `stable-window-ms`, `config-apply-ms` (SYSTEM.md, Bounds of kvs-zentral).
STABLE_S = 4.0
APPLY_S = 3.0


async def case(fleet, trouble):
    service = "kodiva4"
    kept = route("r-kept", "198.18.0.1", 8443, service)
    removed = route("r-removed", "198.18.0.2", 8443, service)
    await fleet.start(3, [service, service, service], [kept, removed], [service])
    await fleet.ready()
    await asyncio.sleep(6)

    # An ordinary change. All entries see it and watch the store again.
    fleet.configure([dict(kept, **{"timeout-ms": 2400}), removed])
    await asyncio.sleep(1.0)

    if trouble:
        count = fleet.proxy.silence_open_connections()
        fleet.record("the", count, "open connections to the store go silent; new ones work")
    # After this time all machines are in touch again.
    await asyncio.sleep(STABLE_S + 0.2)

    fleet.configure([dict(kept, **{"timeout-ms": 2400})])
    confirmed = fleet.record.now()
    await asyncio.sleep(APPLY_S)

    broken = []
    client = fleet.clients[0]
    while fleet.record.now() < confirmed + APPLY_S + 6:
        sent = fleet.record.now()
        request = "q-late-%d" % int(1000 * sent)
        result = await fleet.once(client, removed, request_id=request)
        if any(ran == request for backend in fleet.backends.values() for _, ran, _ in backend.runs):
            broken.append("CONFIG: request %s, sent %.3f s after the confirmation of the version that removes its route "
                          "(bound %.0f s), was run and ended: %s" % (request, sent - confirmed, APPLY_S, result))
        await asyncio.sleep(0.2)
    if await fleet.once(client, kept) != "answered":
        fleet.record("the kept route was not served at the end")
    stopped = fleet.check_running()
    if stopped:
        broken.append("FAULT: ended by themselves: " + ", ".join(stopped))
    return broken


main(case, sys.argv[1])
