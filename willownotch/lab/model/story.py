"""A scenario played: partner systems laid out, clients, discovery, troubles, and a policy in each sender."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from zlib import crc32

import numpy as np

from willownotch import interface as api
from willownotch.interface import Readiness
from willownotch.lab.load.plan import Plan, draw
from willownotch.lab.model.baselines import POLICIES
from willownotch.lab.model.ledger import SAMPLE_S, Item, Ledger, Result
from willownotch.lab.model.node import Node, Policy
from willownotch.lab.model.partners import FALL_S, Call, Endpoint, Partner, State
from willownotch.lab.model.scenario import Scenario, Trouble, TroubleBlock
from willownotch.lab.model.world import World

AFTER_S = 1.0  # beyond the last deadline
SLOTS_LEAST, HOLDING_LEAST = 4, 16
QUEUE_WAIT_S = 0.1


def seconds(span) -> float:
    """A span as a number."""
    return span.total_seconds()


class Story:
    """One play of a scenario. `run` gives its result; a story is played once."""

    def __init__(
        self,
        scenario: Scenario,
        policy: str | Callable[[api.Settings, int], Policy] = "module",
        seed: int = 1,
    ) -> None:
        self.scenario, self.seed = scenario, seed
        self.world = self.make_world()
        self.draws = self.world.draws("layout")
        blocks = scenario.classes()
        self.classes = tuple(
            api.MessageClass(
                name,
                c.worth,
                seconds(c.wanted),
                seconds(c.deadline),
                c.late_share,
                c.repeat,
                dedup_window_s=seconds(c.memory),
                in_order=bool(c.in_order),
            )
            for name, c in blocks.items()
        )
        usual = self.world.draws("classes")
        self.takes = [usual.uniform(seconds(c.takes_low), seconds(c.takes_high)) for c in blocks.values()]
        self.mean_takes = sum(c.share * t for c, t in zip(blocks.values(), self.takes, strict=True)) / max(
            1e-9, sum(c.share for c in blocks.values())
        )
        self.tenants = scenario.tenants()
        self.ledger = Ledger(self.classes, tuple(self.tenants))
        self.full = scenario.rate / scenario.load
        self.endpoints: dict[int, Endpoint] = {}
        self.partners = self._lay_out()
        self.settings = self._settings()
        make = POLICIES[policy] if isinstance(policy, str) else policy
        self.nodes = self.make_nodes(make)
        self.plan = self._plan()
        self.tries: dict[str, int] = {}
        self.series: list[tuple[float, int, int, int, int]] = []
        self.delivered = 0
        self._clients = self.world.draws("clients")
        weights = np.array([self.draws.uniform(0.5, 2.0) for _ in self.nodes])
        self._edges = (np.cumsum(weights) / weights.sum()).tolist()
        self._buckets = [[0.0, 0.0] for _ in self.tenants]  # what is left of a share, as of when

    def make_world(self) -> World:
        """Simulated time; the socket twin has another."""
        return World(self.seed)

    def make_nodes(self, make: Callable[[api.Settings, int], Policy]) -> list[Node]:
        """Senders around policies; the socket twin has processes."""
        return [self._node(n, make) for n in range(self.scenario.senders)]

    # Laying out

    def _lay_out(self) -> list[Partner]:
        scenario, kinds = self.scenario, self.scenario.kinds()
        names = list(kinds)
        drawn = []
        for n in range(scenario.partners):
            at, place = (n + 0.5) / scenario.partners, 0.0
            for name in names:
                place += kinds[name].share
                if at < place or name == names[-1]:
                    drawn.append(name)
                    break
        sizes = [
            kinds[name].size / (1 + self.draws.whole(0, scenario.partners - 1)) ** scenario.skew
            for name in drawn
        ]
        report = seconds(scenario.report_low), seconds(scenario.report_high)
        partners = []
        for n, (name, size) in enumerate(zip(drawn, sizes, strict=True)):
            share = size / sum(sizes)
            partner = Partner(
                self.world,
                n,
                name,
                kinds[name],
                share,
                share * self.full,
                self.mean_takes,
                self.world.draws(f"partner {n}"),
                scenario.errors,
                report,
            )
            partner.on_fall = self._fell
            partner.began = self._began
            for endpoint in partner.endpoints:
                self._number(endpoint)
            partners.append(partner)
        return partners

    def _number(self, endpoint: Endpoint) -> None:
        endpoint.number = len(self.endpoints)
        self.endpoints[endpoint.number] = endpoint

    def _settings(self) -> api.Settings:
        scenario, each = self.scenario, self.full / self.scenario.senders
        busy = each * (self.mean_takes + QUEUE_WAIT_S)
        return api.Settings(
            classes=self.classes,
            kinds=tuple(api.DestinationKind(name) for name in scenario.kinds()),
            slots=max(SLOTS_LEAST, round(busy * self.draws.uniform(scenario.slots_low, scenario.slots_high))),
            holding_room=max(HOLDING_LEAST, round(each * seconds(scenario.holding))),
            tenants=tuple(api.Tenant(name, t.share * self.full) for name, t in self.tenants.items()),
            senders=scenario.senders,
            max_attempts=scenario.attempts,
            over_share_worth=scenario.over_share_worth,
            keepalive_s=seconds(scenario.keepalive),
            max_retry_after_s=seconds(scenario.come_back_most),
            may_cancel=True,
            second_copies=True,
            listed_rates=True,
            clients_mark_retries=True,
            rules=api.Rules(cold_share=0.18, cold_s=14.0, fall_multiple=2.0, fall_s=2.0, key_quiet_s=0.3),
        )

    def _node(self, number: int, make: Callable[[api.Settings, int], Policy]) -> Node:
        scenario, seed = self.scenario, self.seed * 1000 + number
        node = Node(
            self.world,
            number,
            self.settings,
            lambda life: make(self.settings, seed + life),
            self.ledger,
            self.endpoints,
            seconds(scenario.way),
            seconds(scenario.round),
            lambda cls: self.takes[cls],
        )
        node.told = partial(self._told, node)
        return node

    def entries(self) -> tuple[api.Endpoint, ...]:
        """The list as it is: each partner's endpoints, with a rough rate."""
        return tuple(self._listed(e) for e in self.endpoints.values() if e.readiness is not Readiness.GONE)

    def _listed(self, endpoint: Endpoint) -> api.Endpoint:
        partner = endpoint.partner
        return api.Endpoint(
            endpoint.number,
            partner.number,
            list(self.scenario.kinds()).index(partner.kind),
            0,
            endpoint.readiness,
            round(partner.share * self.full * 1.2, 3),
        )

    def _plan(self) -> Plan:
        plan = draw(self.scenario.traffic(self.seed, [p.share for p in self.partners]))
        draws = np.random.Generator(np.random.PCG64([self.seed, crc32(b"hot")]))
        for name, block in self.scenario.trouble.items():
            if block.kind is Trouble.HOT:
                struck = [p.number for p in self.struck(name, block)]
                at = plan.at_us / 1e6 - seconds(block.at)
                chosen = (at >= 0) & (at < seconds(block.for_)) & (draws.random(len(plan)) < block.share)
                place = (draws.random(int(chosen.sum())) * len(struck)).astype(int)
                plan.dest[chosen] = np.array(struck)[place]
        return plan

    def struck(self, name: str, block: TroubleBlock) -> list[Partner]:
        """The partner systems that a trouble befalls: drawn until they carry its share of the traffic."""
        draws = self.world.draws(f"trouble {name}")
        left = list(self.partners)
        if block.of_kind:
            kinds = sorted({p.kind for p in left})
            kind = kinds[draws.whole(0, len(kinds) - 1)]
            left = [p for p in left if p.kind == kind]
        chosen: list[Partner] = []
        while left and sum(p.share for p in chosen) < block.share:
            partner = left.pop(draws.whole(0, len(left) - 1))
            if not chosen or sum(p.share for p in chosen) + partner.share <= 1.3 * block.share:
                chosen.append(partner)
        return chosen

    # Playing

    def run(self) -> Result:
        """Play it, and count."""
        world, scenario = self.world, self.scenario
        for node in self.nodes:
            node.hear_list(self.entries(), True)
        for name, block in scenario.trouble.items():
            world.at(seconds(block.at), self._strike, name, block)
        for n, at_us in enumerate(self.plan.at_us.tolist()):
            world.at(0.05 + at_us / 1e6, self._arrive, n)
        world.at(SAMPLE_S, self._sample)
        longest = max(c.deadline_s for c in self.classes)
        until = seconds(scenario.duration) + longest + AFTER_S
        world.run(until)
        result = self.ledger.result(until)
        result.series = self.series
        result.events, result.digest = world.events, world.digest()
        return result

    def _sample(self) -> None:
        """Where things stand, now and then."""
        self.series.append(
            (
                round(self.world.now, 3),
                sum(n.open for n in self.nodes if n.up),
                sum(n.out for n in self.nodes),
                self.delivered,
                len(self.ledger.items),
            )
        )
        if self.world.now < seconds(self.scenario.duration):
            self.world.after(SAMPLE_S, self._sample)

    def _arrive(self, n: int) -> None:
        plan, now = self.plan, self.world.now
        tenant, cls = int(plan.tenant[n]), int(plan.cls[n])
        within = self._within(tenant, now)
        worth = self.classes[cls].worth * (1.0 if within else self.scenario.over_share_worth)
        key = plan.key_name(int(plan.key[n]))
        item = Item(
            f"m{n}",
            int(plan.dest[n]),
            cls,
            tenant,
            key,
            now,
            worth,
            within,
            now + self.classes[cls].deadline_s,
        )
        self.ledger.items[item.ref] = item
        if item.key is not None:
            node = self.nodes[crc32(item.key.encode()) % len(self.nodes)]
        else:
            drawn = self._clients.uniform()
            node = self.nodes[next(n for n, edge in enumerate(self._edges) if drawn <= edge + 1e-12)]
        self._hand_in(item, node)

    def _within(self, tenant: int, now: float) -> bool:
        rate = self.settings.tenants[tenant].quota_per_s
        bucket = self._buckets[tenant]
        most = max(1.0, 2.0 * rate)
        left = min(most, bucket[0] + (now - bucket[1]) * rate) if bucket[1] else most
        within = left >= 1.0
        bucket[:] = [left - within, now]
        return within

    def _hand_in(self, item: Item, node: Node) -> None:
        if item.ended == "delivered":
            return
        item.ended = ""
        if not node.take(item, self.tries.get(item.ref, 0) > 0):
            self._told(node, item, "refused", 0.0)  # nobody listens there

    def _told(self, node: Node, item: Item, what: str, retry_after_s: float) -> None:
        now = self.world.now
        item.ended = what
        if what == "delivered":
            if item.delivered_at is None:
                item.delivered_at = now
                self.delivered += 1
            return
        tries = self.tries.get(item.ref, 0)
        if what != "refused" or tries >= self.scenario.retries:
            return
        wait = max(retry_after_s, seconds(self.scenario.retry_wait)) * self._clients.uniform(0.8, 1.2)
        if now + wait < item.ends_at:
            self.tries[item.ref] = tries + 1
            self.world.after(wait, self._hand_in, item, node)

    def _began(self, call: Call) -> None:
        self.ledger.began(call.ref, call.takes_s, self.world.now)

    def _fell(self, partner: Partner, senders: list[int]) -> None:
        knew = sum(self.nodes[n].seen_failing.get(partner.number, -1.0) >= partner.out_at for n in senders)
        if knew >= 2 / 3 * len(senders):
            self.ledger.breach(
                "pushed over",
                self.world.now,
                f"partner {partner.number}",
                f"{len(senders)} calls in {FALL_S:g} s",
            )

    # Troubles

    def _publish(self, entries: tuple[api.Endpoint, ...]) -> None:
        """News of the list, to each sender in its own time."""
        scenario, draws = self.scenario, self.world.draws(f"list {self.world.now}")
        for node in self.nodes:
            delay = draws.uniform(seconds(scenario.list_low), seconds(scenario.list_high))
            self.world.after(delay, node.hear_list, entries, False)

    def _entry(self, endpoint: Endpoint, readiness: Readiness) -> api.Endpoint:
        endpoint.readiness = readiness
        return self._listed(endpoint)

    def _strike(self, name: str, block: TroubleBlock) -> None:
        kind, span = block.kind, seconds(block.for_)
        self.world.note("trouble", name)
        if kind is Trouble.CRASH:
            node = self.nodes[self.world.draws(f"trouble {name}").whole(0, len(self.nodes) - 1)]
            node.crash()
            self.world.after(span, lambda: node.restart(self.entries()))
            return
        for partner in self.struck(name, block):
            if kind in (Trouble.SILENCE, Trouble.HANG):
                partner.outage(State.SILENT if kind is Trouble.SILENCE else State.HANGS)
                self.world.after(span, partner.over)
            elif kind is Trouble.SLOW:
                partner.slow *= block.times
                self.world.after(span, self._change, partner, "slow", 1 / block.times)
            elif kind is Trouble.REFUSE:
                partner.refusing = True
                self.world.after(span, setattr, partner, "refusing", False)
            elif kind is Trouble.RESET:
                partner.resets = block.share
                self.world.after(span, setattr, partner, "resets", 0.0)
            elif kind is Trouble.LIMIT and partner.limit is not None:
                partner.limit.cut *= block.times
                self.world.after(span, self._change, partner.limit, "cut", 1 / block.times)
            elif kind in (Trouble.REPLACE, Trouble.DRAIN):
                self._replace(partner, kind is Trouble.DRAIN, span)

    @staticmethod
    def _change(thing: object, name: str, times: float) -> None:
        setattr(thing, name, getattr(thing, name) * times)

    def _replace(self, partner: Partner, slowly: bool, span: float) -> None:
        """One endpoint goes, another takes its place: at once, or after it was drained."""
        old = partner.endpoints[0]
        new = Endpoint(-1, partner, old.workers)
        self._number(new)
        partner.endpoints[0] = new
        news = [self._entry(new, Readiness.SERVING)]
        if slowly:
            partner.endpoints.append(old)
            news.append(self._entry(old, Readiness.DRAINING))
            self.world.after(span, self._gone, partner, old)
        else:
            old.state = State.GONE
            partner._drop(old)
            news.append(self._entry(old, Readiness.GONE))
        self._publish(tuple(news))

    def _gone(self, partner: Partner, endpoint: Endpoint) -> None:
        endpoint.state = State.GONE
        partner._drop(endpoint)
        if endpoint in partner.endpoints:
            partner.endpoints.remove(endpoint)
        self._publish((self._entry(endpoint, Readiness.GONE),))


def play(scenario: Scenario, policy: str = "module", seed: int = 1) -> Result:
    """One story from its parts."""
    return Story(scenario, policy, seed).run()
