"""HTTP interface of the stand-in engine: completions, streams, orders."""

from __future__ import annotations

__all__ = ["build_engine"]

import hashlib
import os
import time
import uuid
from collections.abc import AsyncIterator
from typing import Any

import httpx
import orjson
import trio
from quart import Response, request

from ashpond.identity import chain_blocks, count_tokens, render_chat
from ashpond.server import make_app, read_body
from ashpond.standins.model import EngineModel, EngineOptions, Generation

DEFAULT_TOKENS = 16
FEED_SECONDS = 0.2
STREAM_KEPT_SECONDS = 30.0
NOT_RUN = {"X-Not-Run": "true"}


class Stream:
    """An answer whose events can be read again from any event number."""

    def __init__(
        self, generation: Generation, payload: dict[str, Any], prompt: str, chat: bool
    ):
        self.generation = generation
        self.payload = payload
        self.chat = chat
        self.digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
        self.created = int(time.time())

    def make_token(self, number: int) -> str:
        """Return the text of token ``number``, which depends only on the prompt."""
        return f"{self.digest}.{number} "

    def make_event(self, name: str, number: int) -> bytes:
        """Return event ``number`` as server-sent event bytes.

        The last event includes the token counts and is followed by ``[DONE]``.
        """
        last = number == self.generation.count
        token = self.make_token(number)
        reason = "stop" if last else None
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        if self.chat:
            choice["delta"] = {"role": "assistant", "content": token}
        else:
            choice["text"] = token
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        chunk = self._describe(name, kind) | {"choices": [choice]}
        if last:
            chunk["usage"] = self.count_usage()
        data = orjson.dumps(chunk)
        event = b"id: %d\ndata: %s\n\n" % (number, data)
        if last:
            event += b"id: %d\ndata: [DONE]\n\n" % (number + 1)
        return event

    def make_answer(self, name: str) -> dict[str, Any]:
        """Return the body of an answer that isn't streamed."""
        text = "".join(self.make_token(n + 1) for n in range(self.generation.count))
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.chat else "text_completion"
        body = self._describe(name, kind) | {"choices": [choice]}
        return body | {"usage": self.count_usage()}

    def count_usage(self) -> dict[str, Any]:
        """Return the token counts as the ``usage`` object of the OpenAI API."""
        prompt = self.generation.prompt_tokens
        cached = {"cached_tokens": self.cached_tokens}
        total = prompt + self.generation.count
        return {
            "prompt_tokens": prompt,
            "completion_tokens": self.generation.count,
            "total_tokens": total,
            "prompt_tokens_details": cached,
        }

    @property
    def cached_tokens(self) -> int:
        """Number of prompt tokens that were found in the prefix cache."""
        return self.generation.cached_blocks * 128

    def _describe(self, name: str, kind: str) -> dict[str, Any]:
        model = self.payload.get("model", "")
        return {"id": name, "object": kind, "created": self.created, "model": model}


def build_engine(options: EngineOptions, nursery: trio.Nursery) -> Any:
    """Return the engine's application.

    :param nursery: runs the model, which must outlive single HTTP requests.
    """
    app = make_app("engine")
    model = EngineModel(options)
    streams: dict[str, Stream] = {}
    nursery.start_soon(model.run, nursery)

    def answer(value: Any, status: int = 200, headers: Any = None) -> Response:
        body = orjson.dumps(value)
        return Response(body, status, headers, content_type="application/json")

    @app.before_request
    async def freeze() -> None:
        while model.faults.frozen and not request.path.startswith("/control/"):
            await trio.sleep(0.01)

    def make_rejection() -> dict[str, str]:
        return {**NOT_RUN, "X-Attempt-Id": request.headers.get("X-Attempt-Id", "")}

    async def accept(chat: bool) -> Response:
        payload = orjson.loads(await read_body())
        if model.faults.draining or model.role != "serve":
            return answer({"error": "draining"}, 503, make_rejection())
        wanted = request.headers.get("X-Weights-Version", model.weights)
        if wanted != model.weights or model.loading:
            return answer({"error": "other weights"}, 409, make_rejection())
        prompt = render_chat(payload["messages"])[0] if chat else payload["prompt"]
        if model.faults.deadly_text and model.faults.deadly_text in prompt:
            os._exit(1)
        salt = request.headers.get("X-Prompt-Salt", "")
        blocks = chain_blocks(salt, prompt)
        count = int(payload.get("max_tokens") or DEFAULT_TOKENS)
        rank = int(request.headers.get("X-Priority", "0"))
        generation = Generation(blocks, count_tokens(prompt), count, rank)
        stream = Stream(generation, payload, prompt, chat)
        name = uuid.uuid4().hex
        streams[name] = stream
        nursery.start_soon(remove_finished_stream, name)
        model.submit(generation)
        if payload.get("stream"):
            after = int(request.headers.get("X-Resume-After", "0"))
            return await start_stream(name, stream, after)
        return await wait_for_answer(name, stream)

    async def remove_finished_stream(name: str) -> None:
        stream = streams[name]
        while not stream.generation.finished and not stream.generation.cancelled:
            await stream.generation.changed.wait()
        await trio.sleep(STREAM_KEPT_SECONDS)
        streams.pop(name, None)

    def make_headers(name: str, stream: Stream) -> dict[str, str]:
        attempt = request.headers.get("X-Attempt-Id", "")
        if model.faults.cross_answers > 0:
            model.faults.cross_answers -= 1
            attempt = "another-attempt"
        return {
            "X-Attempt-Id": attempt,
            "X-Engine-Incarnation": model.incarnation,
            "X-Stream-Id": name,
            "X-Weights-Version": model.weights,
            "X-Software-Version": options.software,
            "X-Cached-Tokens": str(stream.cached_tokens),
        }

    async def wait_for_answer(name: str, stream: Stream) -> Response:
        try:
            while not stream.generation.finished:
                await stream.generation.changed.wait()
        except trio.Cancelled:
            stream.generation.cancelled = True
            raise
        if model.faults.drop_answers > 0:
            model.faults.drop_answers -= 1
            await trio.sleep_forever()
        return answer(stream.make_answer(name), 200, make_headers(name, stream))

    async def start_stream(name: str, stream: Stream, after: int) -> Response:
        try:
            while not stream.generation.generated and not stream.generation.cancelled:
                await stream.generation.changed.wait()
        except trio.Cancelled:
            stream.generation.cancelled = True
            raise
        headers = make_headers(name, stream)
        body = send_events(name, stream, after)
        return Response(body, 200, headers, content_type="text/event-stream")

    async def send_events(
        name: str, stream: Stream, after: int
    ) -> AsyncIterator[bytes]:
        sent = after
        while sent < stream.generation.count:
            while (
                sent >= stream.generation.generated and not stream.generation.cancelled
            ):
                await stream.generation.changed.wait()
            if stream.generation.cancelled:
                return
            # More tokens are generated while these events are being sent. Only
            # the tokens whose events are in this chunk count as sent.
            generated = stream.generation.generated
            ready = range(sent + 1, generated + 1)
            yield b"".join(stream.make_event(name, number) for number in ready)
            sent = generated
            if model.faults.cut_after and sent >= model.faults.cut_after:
                model.faults.cut_after = 0
                raise ConnectionResetError("injected fault cut_after: stream cut")

    @app.post("/v1/chat/completions")
    async def complete_chat() -> Response:
        return await accept(True)

    @app.post("/v1/completions")
    async def complete_text() -> Response:
        return await accept(False)

    @app.get("/v1/streams/<name>")
    async def resume(name: str) -> Response:
        if name not in streams:
            return answer({"error": "no such stream"}, 404)
        after = int(request.args.get("after", "0"))
        return await start_stream(name, streams[name], after)

    @app.delete("/v1/streams/<name>")
    async def cancel(name: str) -> Response:
        if name in streams:
            streams[name].generation.cancelled = True
            streams[name].generation.notify()
        return answer({})

    @app.get("/load")
    async def load() -> Response:
        return answer(model.report())

    @app.get("/feed")
    async def feed() -> Response:
        after = int(request.args.get("after", "0"))
        lines = send_lines(after)
        return Response(lines, 200, content_type="application/x-ndjson")

    async def send_lines(after: int) -> AsyncIterator[bytes]:
        while True:
            while model.faults.frozen:
                await trio.sleep(0.01)
            report = model.report()
            if after > model.sequence:
                after = 0
            events = model.list_events(after)
            if events:
                after = events[-1]["seq"]
            line = {"load": report, "events": events, "age": report["age"]}
            yield orjson.dumps(line) + b"\n"
            await trio.sleep(FEED_SECONDS)

    @app.get("/control/log")
    async def show_log() -> Response:
        return answer({"events": model.events, "prefilled": model.prefilled_tokens})

    @app.get("/kv")
    async def export_kv() -> Response:
        descriptor = {"incarnation": model.incarnation, "weights": model.weights}
        return answer(descriptor | {"blocks": list(model.cache)})

    @app.post("/kv")
    async def import_kv() -> Response:
        descriptor = orjson.loads(await read_body())
        if descriptor["weights"] != model.weights:
            return answer({"error": "other weights"}, 409, make_rejection())
        model.import_blocks(descriptor["blocks"])
        return answer({})

    @app.post("/orders")
    async def take_order() -> Response:
        order = orjson.loads(await read_body())
        if options.checks_fencing and order["fence"] < model.fence:
            return answer({"error": "old fence", "fence": model.fence}, 412)
        model.fence = max(model.fence, order["fence"])
        if order["kind"] == "role":
            model.role = order["role"]
        elif order["weights"] not in (model.weights, model.loading):
            model.loading = order["weights"]
            nursery.start_soon(load_weights, order["weights"])
        return answer({"fence": model.fence})

    async def load_weights(version: str) -> None:
        if options.platform:
            path = f"http://{options.platform}/weights/{options.model}/{version}"
            async with httpx.AsyncClient(timeout=30) as client:
                await client.get(path)
        while model.running:
            await trio.sleep(0.01)
        if model.loading == version:
            model.drop_cache()
            model.weights = version
            model.loading = ""

    @app.post("/control/faults")
    async def set_faults() -> Response:
        for name, value in orjson.loads(await read_body()).items():
            setattr(model.faults, name, value)
        return answer({})

    @app.post("/control/crash")
    async def crash() -> Response:
        model.incarnation = uuid.uuid4().hex[:12]
        model.cache.clear()
        model.events.clear()
        model.sequence = 0
        for stream in streams.values():
            stream.generation.cancelled = True
            stream.generation.notify()
        streams.clear()
        return answer({})

    return app
