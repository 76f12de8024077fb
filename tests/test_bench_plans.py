"""Tests that an invalid plan of a benchmark is refused before it runs."""

import pytest

from bench.plan import PolicyName, read_plan
from foxtailsaddle.errors import SettingsError


class TestReadPlan:
    @pytest.mark.parametrize(
        ("text", "words"),
        [
            ("colour: red", "colour: Extra inputs"),
            ("loads: [0]", "loads: each must be above 0"),
            ("loads: [99]", "at most 10"),
            (
                "engines: 2\nfaults: [{at_s: 1, action: kill, name: e9}]",
                '"e9" does not',
            ),
            ("mix: {long_share: 2}", "mix.long_share"),
            ("policies: [best]", "policies.0"),
        ],
    )
    def test_an_error_names_the_file_and_the_reason(self, tmp_path, text, words):
        path = tmp_path / "plan.yaml"
        path.write_text(text)
        with pytest.raises(SettingsError) as caught:
            read_plan(str(path))
        assert str(path) in caught.value.message
        assert words in caught.value.message

    def test_a_missing_file_is_named(self, tmp_path):
        with pytest.raises(SettingsError, match="No such file"):
            read_plan(str(tmp_path / "none.yaml"))

    def test_an_empty_plan_has_defaults(self, tmp_path):
        path = tmp_path / "plan.yaml"
        path.write_text("")
        assert read_plan(str(path)).policies == tuple(PolicyName)
