"""Cores of the replicated log whose members are agreed on in the log.

Machines are named by a letter; each disk of a machine has an id of its own, such as
``b/2``. The checks are those of ``Cores``.
"""

from pollenfold.core.agreement_members import (
    decode_members,
    founding,
    next_members,
    wrap_snapshot,
)
from pollenfold.core.agreement_messages import Join, Propose
from pollenfold.tests.core.cores import Core, Cores

JOIN_INTERVAL_MS = 200
N_TARGET = 5


class DynamicCores(Cores):
    """Cores that start with a founder; the others join it."""

    is_dynamic = True

    def __init__(self, n_machines, seed=0, n_target=N_TARGET):
        self.n_target = n_target
        self.n_disks = 0
        self.joined_at = 0.0
        super().__init__(0, seed)
        for position in range(n_machines):
            self.add_disk("abcdefgh"[position], is_founder=position == 0)

    def add_disk(self, machine, is_founder=False):
        """Start a machine on an empty disk; what it had before is gone."""
        for name in [k for k in self.cores if k.split("/")[0] == machine]:
            del self.cores[name]
        name = f"{machine}/{self.n_disks}"
        self.n_disks += 1
        core = self.cores[name] = Core(name, name, is_blank=False)
        if is_founder:
            core.stored, core.log = founding(name)
        self.start(name)
        return name

    def first_members(self, name):
        return frozenset({name})

    def deliver(self, position):
        message = self.flight[position]
        if message.recipient in self.cores:
            super().deliver(position)
        else:
            self.flight.pop(position)

    def snapshot(self, index):
        commands = [entry.command for entry, _ in self.committed[:index]]
        voters = [decode_members(command) for command in commands]
        latest = [names for names in voters if names is not None][-1:]
        data = repr(commands).encode()
        return wrap_snapshot(latest[0] if latest else frozenset(), data)

    def tick(self):
        super().tick()
        if self.now < self.joined_at + JOIN_INTERVAL_MS:
            return
        self.joined_at = self.now
        for name, core in list(self.cores.items()):
            if core.state is None:
                continue
            change = next_members(core.state, self.n_target, self.now)
            if change is not None:
                self.step(name, Propose(change[0].command))
        self.ask_to_join()

    def ask_to_join(self):
        """Let each core that is no voter of the leader ask it, unless it is cut off."""
        leader = self.leader()
        if leader is None:
            return
        for name, core in self.cores.items():
            is_cut = (name in self.cut_off) != (leader.replica_id in self.cut_off)
            if core.state is not None and name not in leader.voters and not is_cut:
                self.step(leader.replica_id, Join(name))

    def voters(self):
        """Return the voters that the leader knows."""
        leader = self.leader()
        return frozenset() if leader is None else leader.voters
