"""Tests for orders to engines under a lease, and for spare endpoints."""

import contextlib
from unittest import mock

import pytest
import trio

from foxtailsaddle.app._model_placement import ModelPlacement
from foxtailsaddle.core import Lease, next_lease
from foxtailsaddle.errors import LeaseLostError
from standins.world import World, run_world

from .scenarios import fails_without

AFTER_LEASE_END_S = 10.5  # the term of a lease is 10 s
MODELS = ("drafts",)


def spare_tree(orders: str) -> dict:
    """Return settings with three wanted endpoints and the spare one e4.

    :param orders: "checked" if the spare endpoint refuses orders with an old fencing
        number, else "unchecked".
    """
    endpoints = {f"e{n}": {"url": f"http://10.0.2.{n}:80"} for n in (1, 2, 3)}
    spare = {"url": "http://10.0.2.4:80", "spare": True, "orders": orders}
    service = {"wanted": 3, "endpoints": {**endpoints, "e4": spare}}
    return {"services": {"drafts": service}}


class TestNextLease:
    def test_the_number_grows_only_with_a_new_holder(self):
        first = next_lease(None, "i1", "a", 0, 100, 5)
        assert first == Lease("i1", "a", 1, 100)
        assert next_lease(first, "i1", "a", 50, 100, 5).number == 1
        assert next_lease(first, "i2", "b", 105, 100, 5) is None
        assert next_lease(first, "i2", "b", 106, 100, 5).number == 2
        assert next_lease(first, "i1", "restarted", 50, 100, 5) is None

    def test_a_send_needs_enough_remaining_lease_time(self):
        lease = Lease("i1", "a", 1, 100)
        assert lease.may_send(40, 60)
        assert not lease.may_send(41, 60)


class TestPausedHolder:
    """A lease holder that was paused beyond its lease changes nothing."""

    async def scenario(self, world: World) -> None:
        endpoint = world.app("i1").router.find_endpoint("e1")
        paused, successor = world.app("i1").order_sender, world.app("i2").order_sender
        old = await paused.acquire_lease("e1", endpoint)
        await trio.sleep(AFTER_LEASE_END_S)
        await successor.order("e1", endpoint, MODELS)
        with pytest.raises(LeaseLostError):
            await paused.send("e1", endpoint, old, ("other",))
        await trio.sleep(5)
        assert world.engine_by_name["e1"].models == set(MODELS)

    async def late_send(self, world: World) -> None:
        """The holder pauses between its check and the send."""
        endpoint = world.app("i1").router.find_endpoint("e1")
        await world.app("i1").order_sender.acquire_lease("e1", endpoint)
        await trio.sleep(AFTER_LEASE_END_S)
        await world.app("i2").order_sender.order("e1", endpoint, MODELS)
        accepted = await world.app("i1").env.models.assign_models(
            endpoint.url, 1, ("other",)
        )
        assert not accepted
        assert world.engine_by_name["e1"].orders[-1]["models"] == list(MODELS)

    def test_its_own_check_stops_the_send(self):
        run_world(self.scenario)

    def test_its_own_check_stops_the_send_to_engines_without_a_check(self):
        run_world(self.scenario, checks_orders=False)

    def test_fails_without_the_check(self):
        without_check = mock.patch.object(Lease, "may_send", lambda *_: True)
        with without_check, pytest.raises(BaseExceptionGroup) as caught:
            run_world(self.scenario, checks_orders=False)
        assert caught.group_contains(pytest.fail.Exception, match="DID NOT RAISE")

    def test_engines_with_a_check_refuse_a_late_send(self):
        run_world(self.late_send)

    def test_engines_without_a_check_accept_a_late_send(self):
        """A known limit: such an engine accepts it until the order is read back."""
        fails_without(self.late_send, contextlib.nullcontext(), checks_orders=False)


class TestSpareEndpoints:
    async def overwritten_order(self, world: World) -> None:
        """A late order that an engine accepted is detected by reading it back."""
        world.kill("e2")
        await trio.sleep(12)
        spare = world.engine_by_name["e4"]
        assert spare.models == set(MODELS)
        models = world.app("i1").env.models
        assert await models.assign_models(world.url("e4"), 0, ("other",))
        await trio.sleep(12)
        assert spare.models == set(MODELS)

    def test_an_order_that_was_overwritten_is_repaired(self):
        run_world(
            self.overwritten_order, tree=spare_tree("unchecked"), checks_orders=False
        )

    def test_fails_without_the_read_back(self):
        async def no_repair(*_):
            return None

        patch = mock.patch.object(ModelPlacement, "_repeat_undone_orders", no_repair)
        tree = spare_tree("unchecked")
        fails_without(self.overwritten_order, patch, tree=tree, checks_orders=False)

    def test_a_lost_endpoints_model_is_loaded_on_a_spare(self):
        async def scenario(world: World) -> None:
            spare = world.engine_by_name["e4"]
            assert spare.orders == []
            world.kill("e2")
            await trio.sleep(12)
            assert spare.models == set(MODELS)
            for name in ("e1", "e3"):
                world.kill(name)
            await trio.sleep(3)
            seen = await world.caller().complete(world.url("i1"), "hello", 4, 10)
            assert seen.code == "ok"

        for orders in ("checked", "unchecked"):
            run_world(scenario, tree=spare_tree(orders))

    def test_a_spare_gets_no_work_before_its_model_is_loaded(self):
        async def scenario(world: World) -> None:
            for number in range(10):
                caller = world.caller()
                await caller.complete(world.url("i1"), f"hello {number}", 4, 10)
            assert not world.engine_by_name["e4"].arrivals

        run_world(scenario, tree=spare_tree("checked"))
