"""The command line: commands parse arguments, call other modules and print results.

Exit codes: 0 success, 1 refused or failed, 2 invalid input.
"""

from __future__ import annotations

__all__ = ["main"]

import itertools
import sys
from typing import NoReturn, TextIO

import click
import trio

from ashpond import __version__
from ashpond.configuration import parse_configuration
from ashpond.errors import InputError
from ashpond.operator import AdminAnswer, AdminClient, read_files
from ashpond.settings import load_settings

FAILED = 1
BAD_INPUT = 2
OK_STATUS = 200
BAD_INPUT_STATUSES = (400, 422)

admin_option = click.option(
    "--admin",
    envvar="ASHPOND_ADMIN",
    required=True,
    metavar="IP:PORT",
    help="Admin address of any instance (or ASHPOND_ADMIN).",
)
token_option = click.option(
    "--token",
    envvar="ASHPOND_ADMIN_TOKEN",
    required=True,
    help="The admin token (or, better, ASHPOND_ADMIN_TOKEN).",
)
address_option = click.option("--address", default="127.0.0.1:0", metavar="IP:PORT")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="ashpond")
def main() -> None:
    """Route language-model requests to the engine that answers soonest."""


def fail(message: str, code: int) -> NoReturn:
    """Print an error message and exit with ``code``."""
    click.echo(f"error: {message}", err=True)
    sys.exit(code)


def fail_with_answer(answer: AdminAnswer) -> NoReturn:
    """Print the error that an instance answered, and exit with the matching code."""
    for problem in answer.body.get("problems", []):
        click.echo(problem, err=True)
    bad_input = answer.status in BAD_INPUT_STATUSES
    fail(answer.body.get("error", "failed"), BAD_INPUT if bad_input else FAILED)


@main.command()
@click.argument("settings_file", metavar="SETTINGS")
def serve(settings_file: str) -> None:
    """Run one instance with the settings file SETTINGS.

    SIGINT or SIGTERM lets it leave: calls in flight end whole.
    """
    from ashpond.application import Application
    from ashpond.logs import setup_logs
    from ashpond.runtimeclock import choose_clock

    try:
        settings = load_settings(settings_file)
    except InputError as error:
        fail(str(error), BAD_INPUT)
    setup_logs(settings.name, settings.logs.level)
    clock = choose_clock(lambda event, **fields: click.echo(f"{event} {fields}"))
    trio.run(Application(settings).run, clock=clock)


@main.command()
@click.argument("files", nargs=-1, required=True, metavar="FILE...")
def check(files: tuple[str, ...]) -> None:
    """Check configuration files as a whole set, without applying them."""
    try:
        configuration = parse_configuration(read_files(files))
    except InputError as error:
        fail(str(error), BAD_INPUT)
    parts = configuration._asdict().items()
    counts = ", ".join(f"{len(part)} {name}" for name, part in parts)
    click.echo(f"ok: {counts}")


@main.command()
@click.argument("files", nargs=-1, metavar="FILE...")
@click.option("--remove", multiple=True, metavar="NAME", help="Remove a file.")
@click.option("--base", type=int, help="Refuse unless this generation is in force.")
@click.option("--wait", is_flag=True, help="Wait until all live instances run it.")
@click.option("--limit", default=30.0, show_default=True, help="Seconds to wait.")
@admin_option
@token_option
def apply(
    files: tuple[str, ...],
    remove: tuple[str, ...],
    base: int | None,
    wait: bool,
    limit: float,
    admin: str,
    token: str,
) -> None:
    """Apply configuration files as one change, as a whole or not at all."""
    try:
        change: dict[str, str | None] = dict(read_files(files))
    except InputError as error:
        fail(str(error), BAD_INPUT)
    change |= dict.fromkeys(remove)
    if not change:
        fail("name files to apply, or --remove NAME", BAD_INPUT)
    client = AdminClient(admin, token)
    answer = client.apply(change, base)
    if answer.status != OK_STATUS:
        fail_with_answer(answer)
    generation = answer.body["generation"]
    click.echo(f"generation {generation} accepted")
    if wait:
        lagging = client.wait_for(generation, limit)
        if lagging:
            fail(f"not yet in force on {', '.join(lagging)}", FAILED)
        click.echo(f"generation {generation} in force on all live instances")


@main.command()
@admin_option
@token_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(admin: str, token: str, as_json: bool) -> None:
    """Show instances, backend servers and teams."""
    import orjson

    answer = AdminClient(admin, token).get("/admin/status")
    if answer.status != OK_STATUS:
        fail_with_answer(answer)
    if as_json:
        click.echo(orjson.dumps(answer.body, option=orjson.OPT_INDENT_2))
        return
    for entry in answer.body["instances"]:
        click.echo(
            f"instance {entry['name']:16} {entry['address']:22} "
            f"{entry['state']:8} generation {entry['generation']}"
        )
    for server in answer.body["servers"]:
        click.echo(
            f"server   {server['name']:16} {server['service']:16} "
            f"{server['state']:8} running {server['running']} "
            f"waiting {server['waiting']} {server['weights']}"
        )
    click.echo(f"teams    {', '.join(answer.body['teams'])}")


@main.group()
def report() -> None:
    """Report on all instances together."""


@report.command()
@admin_option
@token_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--html", metavar="FILE", help="Write a page of its own.")
def burn(admin: str, token: str, as_json: bool, html: str | None) -> None:
    """Show how fast services use up their error budgets."""
    from ashpond.burnreport import render_html, render_json, render_table

    answer = AdminClient(admin, token).get("/admin/burn")
    if answer.status != OK_STATUS:
        fail_with_answer(answer)
    rows = answer.body["rows"]
    if html:
        with open(html, "w", encoding="utf-8") as file:
            file.write(render_html(rows))
        click.echo(f"written to {html}")
        return
    click.echo(render_json(rows) if as_json else render_table(rows))


@main.command("explain")
@click.argument("request_id", metavar="ID")
@click.argument("logs", nargs=-1, type=click.File("r"), metavar="[LOG]...")
def explain_id(request_id: str, logs: tuple[TextIO, ...]) -> None:
    """Print the story of the request ID from decision logs, in order.

    Reads the files LOG, or standard input; lines of several instances may be mixed.
    """
    from ashpond.gateway.explanations import explain_request, read_lines

    text = itertools.chain.from_iterable(logs or (sys.stdin,))
    history = explain_request(read_lines(text), request_id)
    if not history:
        fail(f"the logs hold no line of a request {request_id}", FAILED)
    for line in history:
        click.echo(line)


@report.command("losses")
@click.argument("logs", nargs=-1, type=click.File("r"), metavar="[LOG]...")
def report_losses(logs: tuple[TextIO, ...]) -> None:
    """Show which routed requests were late or lost, when, and why.

    Reads the decision logs LOG of all instances, or standard input.
    """
    from ashpond.gateway.explanations import read_lines
    from ashpond.lossreport import find_losses, render_losses

    text = itertools.chain.from_iterable(logs or (sys.stdin,))
    click.echo(render_losses(*find_losses(read_lines(text))))


@main.command()
@click.argument("logs", nargs=-1, type=click.File("r"), metavar="[LOG]...")
def replay(logs: tuple[TextIO, ...]) -> None:
    """Make the choices of backend servers in decision logs again with today's rules.

    Prints each choice that would differ. Reads the files LOG, or standard input.
    """
    from ashpond.gateway.explanations import read_lines, replay_choices

    text = itertools.chain.from_iterable(logs or (sys.stdin,))
    result = replay_choices(read_lines(text))
    for request_id, then, now in result.changed:
        click.echo(f"{request_id}: {then} then, {now} now")
    click.echo(f"{result.choices} choices, {len(result.changed)} would differ")


@main.command("lab")
@click.argument("experiment_file", metavar="EXPERIMENT")
def run_lab(experiment_file: str) -> None:
    """Play the scenarios of the file EXPERIMENT in virtual time, and show a table."""
    from ashpond.emulator.experiments import load_experiment, measure, render_table

    try:
        experiment = load_experiment(experiment_file)
    except InputError as error:
        fail(str(error), BAD_INPUT)
    seeds = range(1, experiment.seeds + 1)
    results = {}
    for name, scenario in experiment.scenarios.items():
        with click.progressbar(seeds, label=name, file=sys.stderr) as shown:
            results[name] = [measure(scenario._replace(seed=n)) for n in shown]
    click.echo(render_table(results))


@main.group()
def gateway() -> None:
    """Instances that serve routed calls."""


@gateway.command("status")
@click.argument("address", metavar="IP:PORT")
def show_gateway_status(address: str) -> None:
    """Show what the instance with the metrics address IP:PORT believes."""
    import httpx
    import orjson

    try:
        answer = httpx.get(f"http://{address}/status", trust_env=False)
        answer.raise_for_status()
    except httpx.HTTPError as error:
        fail(f"{address}: {error}", FAILED)
    click.echo(orjson.dumps(answer.json(), option=orjson.OPT_INDENT_2))


@gateway.command("release")
@click.argument("address", metavar="IP:PORT")
@click.argument("fingerprint")
def release_request(address: str, fingerprint: str) -> None:
    """Let a quarantined request or prompt part be sent again, at all instances.

    IP:PORT is the metrics address of any instance, FINGERPRINT names the request or
    part as in its status and logs. If it ends servers again it is quarantined again.
    """
    import httpx

    url = f"http://{address}/quarantine/release"
    try:
        answer = httpx.post(url, content=fingerprint, trust_env=False)
    except httpx.HTTPError as error:
        fail(f"{address}: {error}", FAILED)
    if answer.status_code != OK_STATUS:
        fail(f"{address}: nothing counts against {fingerprint}", FAILED)
    click.echo(f"released: {fingerprint}")


@gateway.command("check")
@click.argument("settings_file", metavar="SETTINGS")
def check_gateway_settings(settings_file: str) -> None:
    """Check the settings file SETTINGS."""
    from ashpond.gateway.settings import load_gateway_settings

    try:
        settings = load_gateway_settings(settings_file)
    except InputError as error:
        fail(str(error), BAD_INPUT)
    click.echo(f"ok: {settings.name} in {settings.failure_domain}")


@main.command("hash-key")
@click.argument("key")
def show_key_hash(key: str) -> None:
    """Print the digest under which a team's KEY is declared."""
    from ashpond.configuration import hash_key

    click.echo(hash_key(key))


@main.group()
def standin() -> None:
    """Stand-ins for outside systems; for the demo, tests and the bench only."""


@standin.command("platform")
@address_option
def standin_platform(address: str) -> None:
    """Run a stand-in for the platform."""
    from ashpond.standins.platform import build_platform
    from ashpond.standins.runner import run_standin

    trio.run(run_standin, lambda nursery: build_platform(), address)


@standin.command("engine")
@address_option
@click.option("--weights", default="w1", show_default=True)
@click.option("--prefill-rate", default=8000.0, show_default=True, help="Tokens/s.")
@click.option("--token-seconds", default=0.01, show_default=True)
@click.option("--max-running", default=8, show_default=True)
@click.option("--cache-blocks", default=512, show_default=True)
@click.option("--report-lag", default=0.2, show_default=True, help="Seconds.")
@click.option("--ignores-fencing", is_flag=True, help="Take any order.")
@click.option("--platform", default="", metavar="IP:PORT", help="Weight store.")
@click.option("--software", default="", help="Version of the engine's software.")
def standin_engine(
    address: str,
    weights: str,
    prefill_rate: float,
    token_seconds: float,
    max_running: int,
    cache_blocks: int,
    report_lag: float,
    ignores_fencing: bool,
    platform: str,
    software: str,
) -> None:
    """Run a stand-in for a model engine."""
    from ashpond.standins.engine import build_engine
    from ashpond.standins.model import EngineOptions
    from ashpond.standins.runner import run_standin

    options = EngineOptions(
        weights=weights,
        prefill_rate=prefill_rate,
        token_seconds=token_seconds,
        max_running=max_running,
        cache_blocks=cache_blocks,
        report_lag=report_lag,
        checks_fencing=not ignores_fencing,
        platform=platform,
        software=software,
    )
    trio.run(run_standin, lambda nursery: build_engine(options, nursery), address)


@standin.command("service")
@address_option
@click.option("--work-seconds", default=0.005, show_default=True)
def standin_service(address: str, work_seconds: float) -> None:
    """Run a stand-in for a plain service."""
    from ashpond.standins.runner import run_standin
    from ashpond.standins.service import build_service

    trio.run(run_standin, lambda nursery: build_service(work_seconds), address)
