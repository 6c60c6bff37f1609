"""See claim.txt. A wrong byte in an answer of a prefill engine."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s  # noqa: E402
from deployment import Deployment, Spoiled  # noqa: E402

GARBLE_S = 6.5


def spoil_handle(spoiled, kind, answer):
    """One byte of the handle is wrong."""
    if kind != "prefill" or not spoiled.due():
        return answer
    handle = answer["KvHandle"]
    answer = dict(answer, KvHandle=handle[:4] + " " + handle[5:])
    spoiled.answers.append((time.monotonic(), answer))
    return answer


async def play(record, tmp):
    d = Deployment(record, tmp)
    spoiled = Spoiled(spoil_handle)
    end = [time.monotonic() + 60]
    clients = []
    try:
        await d.start()
        d.prefill[0].spoil = spoiled
        clients = [c for h in d.hosts for c in d.clients(h, lambda: end[0])]
        await asyncio.sleep(4)
        if s.TROUBLE:
            record.say(f"{d.prefill[0].name} spoils {Spoiled.SHARE} of its "
                       "answers")
            spoiled.active = True
        await asyncio.sleep(GARBLE_S)
        spoiled.active = False
        record.say("it spoils no more answers")
        await asyncio.sleep(3)
        end[0] = 0
        await asyncio.gather(*clients)
        return judge(record, d, spoiled)
    finally:
        for c in clients:
            c.cancel()
        await d.stop()


def judge(record, d, spoiled):
    """LOST: a machine in touch, which one is whose process ends by itself, may
    not pass more than three requests from kept connections on to sound engines
    and close their connections without an answer."""
    sound = {}
    for e in d.plain:
        sound.update((rid, e.name) for _, rid in e.arrived)
    for e in d.decode:
        sound.update((rid, e.name) for _, rid, _ in e.runs)
    for at, answer in spoiled.answers:
        record.say(f"{d.prefill[0].name} answers {answer}", at)
    lost = []
    for a in s.Client.all:
        whole = a.status and getattr(a, "whole", True)
        record.say(f"{a.rid} ({a.kind}) sent to {a.host}: {a.status} "
                   f"{'whole' if whole else 'closed'} after "
                   f"{((a.ended or a.sent) - a.sent) * 1000:.0f} ms, "
                   f"engine {sound.get(a.rid, '-')}", a.sent)
        if not whole and a.kept and a.rid in sound:
            lost.append(a)
    most = 0
    for h in d.hosts:
        mine = [a for a in lost if a.host == h.name]
        most = max(most, len(mine))
        record.say(f"{h.name}: {len(mine)} requests passed on to sound engines "
                   f"and closed without an answer, of them "
                   f"{sum(a.kind == 'signoff' for a in mine)} calls that may "
                   "not be repeated")
    record.say(f"processes that ended by themselves: "
               f"{[(h, status) for _, h, status in d.ends]}")
    record.say(f"requests sent: {len(s.Client.all)}, lost: {len(lost)}")
    return s.BROKEN if most > 3 else s.HELD


s.main(FOLDER, play)
