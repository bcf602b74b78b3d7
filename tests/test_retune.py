"""Reloading settings: valid and invalid files, and the rules that stay with each message."""

import copy
import json
import unittest

from harness import SETTINGS, Discovery, Host, Sender, until

from willownotch.interface import DedupScope, Idempotency, MessageClass
from willownotch.net.config import ConfigError, read_config, retuned
from willownotch.net.rules import class_of, rules_of


def changed(path, value=None, settings=SETTINGS):
    """A copy of the settings with the value at a path of keys replaced; without a value, the key is
    removed."""
    copied = inner = copy.deepcopy(settings)
    for key in path[:-1]:
        inner = inner[key]
    if value is None:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    return copied


def text(settings=SETTINGS, **more):
    return json.dumps(
        {
            "settings": settings,
            "listen": "127.0.0.1:0",
            "state": "s",
            "discovery": "127.0.0.1:1",
            "limits": {"sockets": 512},
            **more,
        }
    ).encode()


class SettingsFiles(unittest.TestCase):
    current = read_config(text(), {})

    def test_each_invalid_file_is_reported_in_one_line(self):
        status = dict(SETTINGS["services"][1])
        table = [
            (b"", "cannot be read"),
            (text()[:-40], "cannot be read"),
            (b"[]", "cannot be read"),
            (text(changed(["services", 1, "hardLimitS"], 0)), "a class without time"),
            (text(changed(["services", 1, "hardLimitS"], -5)), "a class without time"),
            (text(changed(["services", 0, "hardLimitS"], "12")), "cannot be read"),
            (text(changed(["policyLimits", "maxAttempts"], 0)), "attempts for a message"),
            (text(changed(["policyLimits", "maxAttempts"])), "maxAttempts"),
            (text(changed(["services", 2, "idempotency"])), "idempotency"),
            (text(changed(["callers"])), "short of 'settings.callers'"),  # required although it has a default
            (text(changed(["rules", "keyQuietS"])), "short of 'settings.rules.keyQuietS'"),
            (text(limits={}), "short of 'limits.sockets'"),
            (text(changed(["services"], [])), "short of 'settings.services.credit'"),
            (text(changed(["services"], [*SETTINGS["services"], status])), "class 'status' twice"),
        ]
        for invalid, reason in table:
            with self.subTest(reason=reason), self.assertRaises(ConfigError) as caught:
                read_config(invalid, {}, self.current)
            self.assertIn(reason, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))

    def test_reloadable_settings_apply_and_the_others_are_named(self):
        fresh = read_config(
            text(
                changed(["policyLimits", "maxAttempts"], 3),
                listen="127.0.0.1:9",
                limits={"sockets": 256, "disk_mb": 1},
            ),
            {},
            self.current,
        )
        applied, deferred = retuned(self.current, fresh)
        self.assertEqual(deferred, ["listen", "disk_mb"])
        self.assertEqual(
            (applied.listen, applied.limits.sockets, applied.limits.disk_mb), (self.current.listen, 256, 3.0)
        )
        self.assertEqual({rules.attempts for rules in applied.rules.values()}, {3})

    def test_rules_convert_back_to_their_class(self):
        cls = MessageClass(
            "a", 3.0, 2.0, 12.0, 0.3, Idempotency.KEYED, DedupScope.ZONE, 5.0, True, 1.0, attempts=7
        )
        self.assertEqual(class_of("a", rules_of(cls, 7)), cls)


class Reload(unittest.TestCase):
    def setUp(self):
        self.host = Host()
        self.discovery = Discovery([self.host])
        self.sender = Sender(self.discovery)
        for resource in (self.host, self.discovery, self.sender):
            self.addCleanup(resource.close)
        self.sender.ready()

    def apply_settings(self, settings):
        before = len(self.sender.lines)
        self.sender.reload({"settings": settings}, "discovery stays")
        until(lambda: any("retune: new settings hold" in line for line in self.sender.lines[before:]))

    def test_outstanding_messages_keep_their_rules_even_after_a_restart(self):
        """The class 'status' is removed and returns as unrepeatable, and attempts are limited to one."""
        self.host.held.clear()
        ref, _ = self.sender.hand_in("status")
        until(lambda: self.host.refs() == [ref])
        unsafe = {**SETTINGS["services"][1], "idempotency": "unsafe"}
        added = {**unsafe, "name": "news"}
        settings = changed(["services"], [SETTINGS["services"][0], SETTINGS["services"][2], added])
        settings = changed(["policyLimits", "maxAttempts"], 1, settings)
        self.apply_settings(settings)
        self.assertEqual(self.sender.hand_in("news")[1].status, 202)
        until(lambda: self.sender.hand_in("status", dest=99)[1].status == 400)  # 503 while its class is known
        settings["services"].append(unsafe)
        self.apply_settings(settings)
        self.sender.restart()  # during its call: under the new rules it would be given up
        for _ in range(2):
            self.host.script.put((503, ()))
        self.host.held.set()

        until(lambda: self.host.refs().count(ref) >= 2)
        self.sender.settled()
        ends = [n["outcome"] for n in self.discovery.notices if n["message"] == ref]
        self.assertEqual(ends, [])
        fresh, _ = self.sender.hand_in("status")
        until(lambda: fresh in self.host.refs())
        self.sender.settled()
        self.host.script.put(None)  # may have been executed: the new rules allow no second call
        last, _ = self.sender.hand_in("status")
        until(lambda: [n for n in self.discovery.notices if n["message"] == last])
        self.assertEqual(self.host.refs().count(last), 1)

    def test_an_invalid_file_changes_neither_classes_nor_discovery(self):
        elsewhere = Discovery([self.host])
        self.addCleanup(elsewhere.close)
        renamed = [{**c, "name": c["name"] + "-x"} for c in SETTINGS["services"]]
        invalid = changed(["services"], [*renamed[:2], {**renamed[2], "hardLimitS": -5}])
        self.sender.reload({"settings": invalid, "discovery": elsewhere.address}, "the old settings stay")
        self.assertEqual(self.sender.hand_in("status")[1].status, 202)
        self.assertEqual(self.sender.hand_in("status-x")[1].status, 400)
        self.assertEqual(elsewhere.watched, [])
