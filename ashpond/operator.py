"""The client of the operator commands for the admin address of an instance."""

from __future__ import annotations

__all__ = ["AdminAnswer", "AdminClient", "read_files"]

import time
import uuid
from pathlib import Path
from typing import Any, NamedTuple

import httpx

from ashpond.errors import ConfigError, InputProblem

APPLY_ATTEMPTS = 5
RETRY_SECONDS = 0.5
TIMEOUT_SECONDS = 15.0
UNAVAILABLE = 503


class AdminAnswer(NamedTuple):
    """An HTTP status (0 if there was no answer) and the JSON body."""

    status: int
    body: dict[str, Any]


class AdminClient:
    """Sends requests to the admin application of one instance."""

    def __init__(self, address: str, token: str):
        headers = {"Authorization": f"Bearer {token}"}
        self._client = httpx.Client(
            base_url=f"http://{address}",
            headers=headers,
            timeout=TIMEOUT_SECONDS,
            trust_env=False,
        )

    def get(self, path: str) -> AdminAnswer:
        """Fetch the resource at ``path``."""
        return self._call("GET", path, None)

    def apply(self, files: dict[str, str | None], base: int | None) -> AdminAnswer:
        """Apply files as one change.

        If the answer is lost, the change is sent again under the same id. An id takes
        effect at most once, however often it is sent.
        """
        change = {"files": files, "base": base, "apply_id": uuid.uuid4().hex}
        answer = AdminAnswer(0, {"error": "not sent"})
        for _ in range(APPLY_ATTEMPTS):
            answer = self._call("POST", "/admin/apply", change)
            if answer.status not in (0, UNAVAILABLE):
                return answer
            time.sleep(RETRY_SECONDS)
        return answer

    def wait_for(self, generation: int, timeout: float) -> list[str]:
        """Wait until all live instances run ``generation``.

        :param timeout: how long to wait (seconds).
        :returns: the addresses of the instances that do not run it yet.
        """
        deadline = time.monotonic() + timeout
        lagging = ["(no answer)"]
        while time.monotonic() < deadline:
            answer = self.get("/admin/status")
            if answer.status == httpx.codes.OK:
                lagging = [
                    entry["address"]
                    for entry in answer.body["instances"]
                    if entry["state"] == "live" and entry["generation"] < generation
                ]
                if not lagging:
                    return []
            time.sleep(RETRY_SECONDS / 5)
        return lagging

    def _call(self, method: str, path: str, body: Any) -> AdminAnswer:
        try:
            response = self._client.request(method, path, json=body)
            return AdminAnswer(response.status_code, response.json())
        except (httpx.HTTPError, ValueError) as error:
            return AdminAnswer(0, {"error": f"no answer from the instance: {error}"})


def read_files(paths: tuple[str, ...]) -> dict[str, str]:
    """Return the contents of the files by file name, without directories.

    :raises ConfigError: if a file cannot be read or two have the same name.
    """
    files: dict[str, str] = {}
    problems = []
    for path in paths:
        name = Path(path).name
        if name in files:
            problems.append(
                InputProblem(path, "(file)", "", "another file has the same name")
            )
        try:
            files[name] = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            problems.append(InputProblem(path, "(file)", "", str(error)))
    if problems:
        raise ConfigError(problems)
    return files
