"""A job is cancelled whose handing in got no answer of the store; see claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "4"))
import standin  # noqa: E402

HOST, KEY, JOB = "nony24.example", "key-of-tenant-a", "5c0e7a21d94b36f8"
LATE_S = 5.5
CANCEL_S, STOP_S, CONTACT_S = 3.0, 0.9, 3.0
STEP = {"count": 1, "cpu": 15000, "mem_mb": 22000, "gpu": 1, "estimated_ms": 1500}


async def case(trouble):
    tenants = [{"name": "tenant-a", "api_keys": [KEY], "priority": 1, "guaranteed": {"gpu": 16}}]
    config = standin.configuration([standin.queue("r-a", HOST, "/booking/", 0, 4)], tenants)
    # The cancelled job would be at work for longer than the case lasts.
    run_ms = lambda task: None if task.startswith(JOB) else 1500
    deployment = standin.Deployment(HERE, ROOT, config, run_ms=run_ms)
    record, store = deployment.record, deployment.store
    lost, last_lost = 0, 0.0

    async def lose_answer(body):
        nonlocal lost, last_lost
        if f"jobs/{JOB}" not in [row["key"] for row in body.get("puts") or []]:
            return None
        lost, last_lost = lost + 1, record.now()
        record.line(f"store: the write of jobs/{JOB} gets no answer and is done {LATE_S} s later")

        def carry_out():
            status, _ = store.carry_out(body)
            record.line(f"store: the late write of jobs/{JOB} is done: {status}")

        asyncio.get_running_loop().call_later(LATE_S, carry_out)
        return standin.NO_ANSWER

    async def load():
        """Other jobs, so that the share of the writes without an answer is small."""
        number = 0x1000
        while True:
            number += 1
            port = deployment.daemons[number % 2].front
            await standin.request(port, "POST", f"/booking/{number:016x}", HOST, KEY, {"spec": "load", "steps": [STEP]})
            await asyncio.sleep(0.1)

    loading = None
    try:
        await deployment.open()
        writes_before = store.writes
        loading = asyncio.ensure_future(load())
        await asyncio.sleep(0.5)
        store.on_txn = lose_answer if trouble else None
        body = {"spec": "(text)", "steps": [{**STEP, "long_running": True}]}
        submitted, _ = await deployment.call(0, "POST", f"/booking/{JOB}", HOST, KEY, body)
        writes = store.writes - writes_before
        record.line(f"store: {lost} of {writes} writes got no answer")
        store.on_txn = None
        cancelled, _ = await deployment.call(1, "DELETE", f"/booking/{JOB}", HOST, KEY)
        acknowledged = record.now()
        if cancelled not in (200, 410) or (trouble and not 0 < lost <= 0.35 * writes):
            raise standin.CannotRun(f"DELETE was answered {cancelled}; {lost} of {writes} writes got no answer")
        # By then the store has been calm for twice contact_ms, and cancel_ms + stop_timeout_ms are over.
        await asyncio.sleep(max(last_lost + 2 * CONTACT_S, acknowledged + CANCEL_S + STOP_S) + 3 - record.now())
        calm_s, after_ack_s = record.now() - last_lost, record.now() - acknowledged
        at_work = [f"{task} run {run} on {worker.id}" for worker in deployment.workers
                   for task, (run, _) in worker.running.items() if task.startswith(JOB)]
        record.line(f"POST answered {submitted}, DELETE answered {cancelled}; {after_ack_s:.1f} s after that answer and "
                    f"{calm_s:.1f} s after the last lost answer, at work: {', '.join(at_work) or 'nothing'}")
        await deployment.call(1, "GET", f"/booking/{JOB}", HOST, KEY)
        return not at_work
    finally:
        if loading:
            loading.cancel()
        await deployment.close()


standin.main(case)
