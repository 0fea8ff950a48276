"""A worker's capacity shrinks while the store turns away the machine that gives it its orders."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness-2"))
import harness

FULL, SHARE_LEFT, OTHERS, TASK = 96000, 0.55, 20000, 27000
TURNED_AWAY_S = 9.0
# A room that has shrunk counts `contact_timeout_ms` and one beat later.
GRACE_S = (harness.BOUNDS["contact_timeout_ms"] + 1500) / 1000


class ShrunkUnseen(harness.Case):
    worker_count = 12
    worker_cpu = OTHERS
    tells_senders = True
    shrunk_at = None

    def on_start(self, worker, task, run, order, used):
        super().on_start(worker, task, run, order, used)
        if self.shrunk_at and used > worker.cpu and self.record.now() > self.shrunk_at + GRACE_S:
            self.broken(f"LIMIT: {self.record.now() - self.shrunk_at:.1f} s after the store has accepted that "
                        f"{worker.id} has {worker.cpu}, the start of {task} brings it to {used:.0f}")

    async def play(self):
        worker = self.workers[0]
        worker.cpu = FULL
        worker.beat()
        await asyncio.sleep(3)
        owner = worker.last_sender
        if owner is None:
            raise harness.CannotRun("no machine gives orders to the worker")
        self.record(f"{owner} gives orders to {worker.id}")
        # A job uses the whole capacity before, so that the machines know it.
        if (await self.submit(self.nodes[0], harness.new_job(), 3, TASK, 300, 5000))[0] != 200:
            raise harness.CannotRun("the first job was not served")
        begun = self.record.now()
        if self.trouble:
            self.store.turned_away.add(owner)
            self.record(f"the store turns {owner} away and serves the others")
        await asyncio.sleep(0.5)
        worker.cpu = int(FULL * SHARE_LEFT)
        worker.beat()
        self.shrunk_at = self.record.now()
        self.record(f"worker {worker.id} has {worker.cpu} left, as its entry in the store says")
        await asyncio.sleep(GRACE_S + 0.2)
        for _ in range(3):
            await self.submit(self.nodes[3], harness.new_job(), 3, TASK, 300, 5000)
            await asyncio.sleep(0.3)
        if self.trouble:
            self.record(f"the store serves {owner} again after {self.record.now() - begun:.1f} s")
            if self.record.now() - begun > TURNED_AWAY_S:
                raise harness.CannotRun("the machine was turned away for longer than the pages allow")
            self.store.turned_away.clear()


harness.main(ShrunkUnseen, pathlib.Path(__file__).parent)
