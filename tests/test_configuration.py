from __future__ import annotations

import pytest

from ashpond.configuration import parse_configuration
from ashpond.errors import ConfigError, SettingsError
from ashpond.settings import parse_settings
from tests.builders import FILES


def list_problems(name: str, text: str) -> list[str]:
    with pytest.raises(ConfigError) as caught:
        parse_configuration(FILES | {name: text})
    return [str(problem) for problem in caught.value.problems]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[teams.x\n", "bad.toml: (file): not valid TOML"),
        ("[team.x]\n", "bad.toml: team: unknown key"),
        (
            '[services.s]\nkind = "plain"\ndeadline_seconds = "5"\n',
            "bad.toml: services.s.deadline_seconds: Input should be a valid number "
            "(got '5')",
        ),
        (
            '[services.s]\nkind = "plain"\ncolour = 1\n',
            "bad.toml: services.s.colour: unknown key",
        ),
        ("[services.s]\n", "bad.toml: services.s.kind: this key is required"),
        (
            '[services.s]\nkind = "model"\n',
            "bad.toml: services.s.model: a model service needs a model (got '')",
        ),
        (
            '[backend_servers.b]\nservice = "none"\naddress = "127.0.0.1:1"\n'
            'failure_domain = "north"\n',
            "bad.toml: backend_servers.b.service: no such service (got 'none')",
        ),
        (
            '[backend_servers.b]\nservice = "reader"\naddress = "host:1"\n'
            'failure_domain = "north"\n',
            "bad.toml: backend_servers.b.address: Value error, the host must be an "
            "IP address, not a name (got 'host:1')",
        ),
        (
            "[priorities.urgent]\nrank = 3\n",
            "priorities.toml: priorities.urgent: already declared in bad.toml",
        ),
        (
            "[priorities.more]\nrank = 3\nmin_share = 0.95\n",
            "the shares of all priorities add up to 1.05, over 1",
        ),
    ],
)
def test_a_fault_names_file_key_value_and_reason(text, expected):
    problems = list_problems("bad.toml", text)
    assert any(expected in problem for problem in problems), problems


def test_reports_a_dangling_reference_of_a_team():
    text = FILES["teams.toml"].replace('"booker"', '"ghost"')
    problems = list_problems("teams.toml", text)
    assert problems == [
        "teams.toml: teams.desk.services: no such service (got 'ghost')"
    ]


def test_errors_never_show_key_hashes():
    text = '[teams.t]\nkey_hashes = ["nothex"]\nservices = []\npriorities = ["urgent"]'
    assert not any("nothex" in problem for problem in list_problems("t.toml", text))


def test_the_key_of_two_teams_is_refused():
    text = FILES["teams.toml"].split("[teams.other]")[0].replace("desk", "copy")
    assert "the same key belongs to team" in list_problems("copy.toml", text)[0]


def test_settings_errors_name_file_key_and_reason():
    with pytest.raises(SettingsError) as caught:
        parse_settings("entry.toml", 'name = "x"\nport = 5\nadmin_token = "short"\n')
    text = str(caught.value)
    assert "entry.toml: port: unknown key" in text
    assert "entry.toml: peers_address: this key is required" in text
    assert "entry.toml: admin_token: String should have at least 16" in text
    assert "short" not in text
