"""Settings with values that no sender can use change nothing; accepted ones end no process, however odd."""

import copy
import json
from random import Random

import pytest
from decision_stories import Story
from harness import SETTINGS, Discovery, Host, Sender

from willownotch.net import config as configs
from willownotch.net.read_budget import max_client_connections

VALUES = (0, -1, 1, 1e-9, 1e-6, 1e9, 1e30, 1.7e308, 2**63 - 1, 2**70, None, "1", True, [], {}, [1e9])
DEEP = "@deep"  # stands for 900 levels in the text, which json.dumps could not write


def numbers(value, path=()):
    """The paths of all numbers in decoded JSON."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from numbers(inner, (*path, key))
    elif isinstance(value, list):
        for at, inner in enumerate(value):
            yield from numbers(inner, (*path, at))
    elif isinstance(value, int | float) and not isinstance(value, bool):
        yield path


BASE = {
    "settings": {
        **SETTINGS,
        "familyInfo": {**SETTINGS["familyInfo"], "feeByZone": [0.1], "refusalCost": 0.1},
    },
    "listen": "127.0.0.1:0",
    "state": "s",
    "discovery": "127.0.0.1:1",
    "limits": {"memory_mb": 64, "sockets": 256, "disk_mb": 3},
}
PATHS = list(numbers(BASE))


def changed(path, value):
    text = copy.deepcopy(BASE)
    node = text
    for part in path[:-1]:
        node = node[part]
    node[path[-1]] = value
    return json.dumps(text).replace(f'"{DEEP}"', "[" * 900 + "]" * 900).encode()


@pytest.mark.parametrize("path", PATHS, ids=lambda path: ".".join(map(str, path)))
def test_a_number_is_refused_or_every_story_under_it_ends_no_process(path):
    for value in (*VALUES, DEEP):
        try:
            config = configs.read_config(changed(path, value), {})
        except configs.ConfigError as fault:
            assert "\n" not in str(fault)
            continue
        assert max_client_connections(config) >= 1
        for seed in range(3):
            story = Story(seed, config.settings)
            story.play(40)


def test_drawn_settings_of_many_extremes_end_no_process():
    accepted = 0
    for seed in range(200):
        random, text = Random(seed), json.loads(changed(PATHS[0], 1.0))
        for path in random.sample(PATHS, 6):
            node = text
            for part in path[:-1]:
                node = node[part]
            node[path[-1]] = random.choice((1, 1e-6, 1e9, 1000, 0.001))
        try:
            config = configs.read_config(json.dumps(text).encode(), {})
        except configs.ConfigError:
            continue
        accepted += 1
        Story(seed, config.settings).play(30)
    assert accepted > 50


UNSOUND = [
    (("settings", "policyLimits", "keepaliveS"), 2**63 - 1),
    (("settings", "policyLimits", "connectTimeoutS"), 1e30),
    (("settings", "rules", "fallMultiple"), -1),
    (("settings", "rules", "coldS"), 1e308),
    (("settings", "services", 0, "hardLimitS"), 1e200),
    (("settings", "services", 0, "promiseS"), DEEP),
    (("settings", "periodS"), -1e300),
    (("limits", "sockets"), 2**70),
    (("discovery",), "a..b:80"),
    (("discovery",), "a\0b:80"),
]


@pytest.mark.parametrize(("path", "value"), UNSOUND, ids=lambda each: str(each))
def test_an_unsound_file_changes_nothing_on_sighup(path, value):
    discovery = Discovery([Host()])
    sender = Sender(discovery)
    try:
        sender.ready()
        text = json.loads(json.dumps(sender.text))
        node = text
        for part in path[:-1]:
            node = node[part]
        node[path[-1]] = value
        written = json.dumps(text).replace(f'"{DEEP}"', "[" * 900 + "]" * 900)
        sender.reload(written, "the old settings stay")
        assert sender.hand_in()[1].status == 202
        assert sender.process.poll() is None
    finally:
        sender.close()
        discovery.close()
