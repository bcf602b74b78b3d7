"""No list, message, answer or restart may raise in a round: the process would end, again at each start."""

import pytest
from round_stories import RoundStory


@pytest.mark.parametrize("seed", range(60))
def test_no_drawn_round_raises(seed, tmp_path):
    RoundStory(seed, tmp_path).play(100)
