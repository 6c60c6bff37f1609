"""See claim.txt. A wrong byte in the second event of a stream."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s  # noqa: E402
from deployment import Deployment, Spoiled  # noqa: E402

GARBLE_S = 6.5


def spoil_event(spoiled, kind, answer):
    """The second event's id has a wrong byte: 0 in place of 2."""
    if kind != "event":
        return answer
    rid, i, event = answer
    if i != 2 or not spoiled.due():
        return answer
    event = event.replace(b"id: 2", b"id: 0")
    spoiled.answers.append((time.monotonic(), rid, event))
    return rid, i, event


async def play(record, tmp):
    d = Deployment(record, tmp)
    spoiled = Spoiled(spoil_event)
    end = [time.monotonic() + 60]
    clients = []
    try:
        await d.start()
        for e in d.decode[:3]:
            e.spoil = spoiled
        clients = [c for h in d.hosts for c in d.clients(h, lambda: end[0])]
        await asyncio.sleep(4)
        if s.TROUBLE:
            record.say(f"{[e.name for e in d.decode[:3]]} spoil "
                       f"{Spoiled.SHARE} of their answers")
            spoiled.active = True
        await asyncio.sleep(GARBLE_S)
        spoiled.active = False
        record.say("they spoil no more answers")
        await asyncio.sleep(3)
        end[0] = 0
        await asyncio.gather(*clients)
        return judge(record, d, spoiled)
    finally:
        for c in clients:
            c.cancel()
        await d.stop()


def judge(record, d, spoiled):
    """ORDER: in a stream that ends as complete no piece may be missing."""
    runs = {}
    for e in d.decode:
        for at, rid, begin in e.runs:
            runs.setdefault(rid, []).append((at, e.name, begin))
    spoiled_ids = {rid: at for at, rid, _ in spoiled.answers}
    broken = []
    for a in s.Client.all:
        if not hasattr(a, "ids"):
            continue
        expected = list(range(1, a.events + 1))
        wrong = a.status == 200 and a.whole and a.ids != expected
        record.say(f"{a.rid} ({a.kind}) sent to {a.host}: {a.status} "
                   f"{'whole' if a.whole else 'cut'}, {len(a.ids)} of "
                   f"{a.events} events, the first is {a.ids[:1]}", a.sent)
        if a.rid in spoiled_ids or wrong:
            record.say(f"    run {sorted(runs.get(a.rid, []))}, spoiled: "
                       f"{a.rid in spoiled_ids}, the client's events: {a.ids}",
                       a.sent)
        if wrong:
            broken.append(a)
    record.say(f"streams: {len(runs)}, spoiled: {len(spoiled_ids)}")
    record.say("streams that end as complete and lack a piece: "
               f"{len(broken)}")
    return s.BROKEN if broken else s.HELD


s.main(FOLDER, play)
