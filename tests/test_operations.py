"""Operations on separate processes: apply, drain, replace and roll out.

No test depends on how fast the machine is: each waits for a state and fails only if
the state is not reached.
"""

from __future__ import annotations

import signal
import subprocess
from typing import Any

import httpx

from tests.processes import (
    KEY,
    TIMEOUT_SECONDS,
    ask,
    count_prefilled,
    count_running,
    is_up,
    make_body,
    restart,
    wait_for,
)
from tools.fleet import ADMIN_TOKEN, Fleet, Process


def test_an_idle_connection_does_not_hold_up_a_shutdown(fleet):
    """Guards against an idle connection that keeps an instance from exiting."""
    instance = fleet.instances[1]
    with httpx.Client(headers=KEY) as client:
        url = f"http://{instance.address}/v1/chat/completions"
        assert client.post(url, json=make_body()).status_code == 200
        instance.popen.send_signal(signal.SIGTERM)
        assert instance.popen.wait(TIMEOUT_SECONDS) == 0
    restart(fleet, 1)


def find_server(fleet: Fleet, name: str) -> dict[str, Any]:
    servers = fleet.read_status(fleet.instances[0])["servers"]
    return next(server for server in servers if server["name"] == name)


def test_a_leaving_engine_gets_no_new_work(fleet):
    engine = fleet.engines[0]
    fleet.report_member_state(engine.address, "backend_server", "leaving")
    for instance in fleet.instances:
        wait_for(lambda i=instance: is_leaving(fleet, i, engine.name))
    before = count_prefilled(fleet, engine)
    for number in range(12):
        body = make_body(messages=[{"role": "user", "content": f"{number} " * 300}])
        assert ask(fleet.instances[number % 3], body).status_code == 200
    assert count_prefilled(fleet, engine) == before
    fleet.report_member_state(engine.address, "backend_server", "live")
    wait_for(lambda: find_server(fleet, engine.name)["state"] == "usable")


def is_leaving(fleet: Fleet, instance: Process, name: str) -> bool:
    servers = fleet.read_status(instance)["servers"]
    return any(s["name"] == name and s["state"] == "leaving" for s in servers)


def run_apply(fleet: Fleet, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [*fleet.options.program, "apply", *arguments],
        env={
            "ASHPOND_ADMIN": fleet.instances[0].admin,
            "ASHPOND_ADMIN_TOKEN": ADMIN_TOKEN,
        },
        capture_output=True,
        text=True,
        check=False,
    )


def write_change(fleet: Fleet, weight: float) -> str:
    path = fleet.directory / "teams.toml"
    text = fleet.options.config_files[2].read_text()
    path.write_text(text.replace("weight = 4.0", f"weight = {weight}"))
    return str(path)


def read_generation(fleet: Fleet) -> int:
    """Return the lowest generation of all instances, once each has reported one.

    What a started instance reports to its peers may precede its configuration.
    """

    def find_lowest() -> int:
        entries = fleet.read_status(fleet.instances[0])["instances"]
        return min(entry["generation"] for entry in entries)

    return wait_for(find_lowest)


def test_an_apply_on_an_old_generation_is_refused_with_both_generations(fleet):
    change = write_change(fleet, 5.0)
    base = read_generation(fleet)
    assert run_apply(fleet, change, "--base", str(base), "--wait").returncode == 0
    outdated = run_apply(fleet, change, "--base", str(base))
    assert outdated.returncode == 1
    assert f"based on generation {base}, but {base + 1} is in force" in outdated.stderr


def test_a_change_with_a_bad_file_is_refused_whole_and_names_the_file(fleet):
    before = read_generation(fleet)
    path = fleet.directory / "teams.toml"
    path.write_text('[teams.x]\nkey_hashes = []\ncolor = "red"\n')
    refused = run_apply(fleet, str(path))
    assert refused.returncode == 2
    assert "teams.toml: teams.x.color: unknown key" in refused.stderr
    assert read_generation(fleet) == before


def test_with_a_lost_answer_an_apply_takes_effect_once(fleet):
    before = read_generation(fleet)
    fleet.set_faults(fleet.platform, lose_answers=1)
    applied = run_apply(fleet, write_change(fleet, 6.0), "--wait")
    fleet.set_faults(fleet.platform, lose_answers=0)
    assert applied.returncode == 0, applied.stderr
    assert read_generation(fleet) == before + 1


def test_an_instance_restarted_without_the_store_runs_the_newest(fleet):
    generation = read_generation(fleet)
    fleet.set_faults(fleet.platform, outage=True)
    old = fleet.instances[2]
    settings = fleet.directory / "entry-3.toml"
    fleet.kill(old)
    peers = [i.peers for i in fleet.instances[:2]]
    head = f"peers = {peers}\n".replace("'", '"')
    fleet.instances[2] = fleet.start_instance(3, old, head)
    assert settings.read_text().startswith("peers")
    wait_for(lambda: is_up(f"http://{old.admin}/readyz"))
    assert ask(fleet.instances[2]).status_code == 200
    status = fleet.read_status(fleet.instances[2])
    fleet.set_faults(fleet.platform, outage=False)
    assert status["instances"][0]["generation"] == generation


def test_all_instances_restart_at_once_and_serve(fleet):
    for index in range(3):
        fleet.kill(fleet.instances[index])
    fleet.instances = [
        fleet.start_instance(n + 1, old) for n, old in enumerate(fleet.instances)
    ]
    for instance in fleet.instances:
        wait_for(lambda i=instance: is_up(f"http://{i.admin}/readyz"))
        assert ask(instance).status_code == 200


def test_new_weights_reach_every_engine_while_calls_are_served(fleet):
    path = fleet.directory / "services.toml"
    text = fleet.options.config_files[1].read_text()
    path.write_text(text.replace('weights = "w1"', 'weights = "w2"'))
    assert run_apply(fleet, str(path), "--wait").returncode == 0

    def serve_until_loaded() -> bool:
        for instance in fleet.instances:
            assert ask(instance).status_code == 200
        servers = fleet.read_status(fleet.instances[0])["servers"]
        return all(
            s["weights"] == "w2" for s in servers if s["service"] == "bid-reader"
        )

    wait_for(serve_until_loaded)
    token_details = ask(fleet.instances[0]).json()["usage"]["prompt_tokens_details"]
    assert token_details["cached_tokens"] >= 0


def test_no_call_is_lost_when_an_engine_is_killed(fleet, threads):
    bodies = [
        make_body(messages=[{"role": "user", "content": f"{n} " * 300}], max_tokens=40)
        for n in range(12)
    ]
    answers = [
        threads.submit(ask, fleet.instances[n % 3], body)
        for n, body in enumerate(bodies)
    ]
    wait_for(lambda: count_running(fleet) >= 1)
    fleet.kill(fleet.engines[0])
    assert [answer.result().status_code for answer in answers] == [200] * 12


def test_the_burn_report_counts_what_was_served(fleet):
    assert ask(fleet.instances[0]).status_code == 200
    report = wait_for(lambda: read_report_with_counts(fleet))
    assert "first token in time" in report
    page = fleet.directory / "burn.html"
    fleet.run_command("report", "burn", "--html", str(page))
    assert "<table>" in page.read_text()


def read_report_with_counts(fleet: Fleet) -> str | None:
    report = fleet.run_command("report", "burn")
    return report if "market-desk" in report else None
