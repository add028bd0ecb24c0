"""Rule CONFIG: the store is silent for some seconds, then a route is removed."""

import asyncio
import sys

from fleet import main, route

# Bounds `stable-window-ms` and `config-apply-ms` of kvs-zentral.
STABLE_S = 4.0
APPLY_S = 3.0
# platform_down, how = "silent": for_s of the site's list of disruptions.
OUTAGE_S = 4.5
# From a change of the configuration to the outage.
QUIET_S = 8.0


async def case(fleet, trouble):
    service = "kodiva4"
    kept = route("r-kept", "198.18.0.1", 8443, service)
    removed = route("r-removed", "198.18.0.2", 8443, service)
    await fleet.start(3, [service, service, service], [kept, removed], [service])
    await fleet.ready()
    await asyncio.sleep(4)

    # An ordinary change. All entries see it and watch the store again.
    fleet.configure([dict(kept, **{"timeout-ms": 2400}), removed])
    await asyncio.sleep(QUIET_S)

    if trouble:
        fleet.store.set_silent(True)
        fleet.record("the store is silent")
    await asyncio.sleep(OUTAGE_S)
    fleet.store.set_silent(False)
    if trouble:
        fleet.record("the store answers again")
    back = fleet.record.now()

    # The store has been without disruption for `stable-window-ms` before any
    # request that is judged.
    await asyncio.sleep(STABLE_S - APPLY_S + 0.5)
    fleet.configure([dict(kept, **{"timeout-ms": 2400})])
    confirmed = fleet.record.now()
    await asyncio.sleep(APPLY_S + 0.1)

    broken = []
    client = fleet.clients[0]
    while fleet.record.now() < confirmed + APPLY_S + 4:
        sent = fleet.record.now()
        request = "q-late-%d" % int(1000 * sent)
        result = await fleet.once(client, removed, request_id=request)
        if any(ran == request for backend in fleet.backends.values() for _, ran, _ in backend.runs):
            broken.append("CONFIG: request %s, sent %.3f s after the confirmation of the version that removes its route "
                          "(bound %.0f s) and %.3f s after the end of the outage, was run and ended: %s" %
                          (request, sent - confirmed, APPLY_S, sent - back, result))
        await asyncio.sleep(0.2)
    if await fleet.once(client, kept) != "answered":
        fleet.record("the kept route was not served at the end")
    stopped = fleet.check_running()
    if stopped:
        broken.append("FAULT: ended by themselves: " + ", ".join(stopped))
    return broken


main(case, sys.argv[1])
