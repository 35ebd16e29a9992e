"""The OpenAI-style front (chat completions, completions and models), and that form of model server."""

from __future__ import annotations

import math
import time
import uuid
from collections.abc import Callable
from typing import Any

import msgspec

from pearstall.interface import Settings
from pearstall.net.config import Names, OpenAIConfig
from pearstall.net.core import Answer, Query
from pearstall.net.events import payloads
from pearstall.net.http1 import Head, Malformed, Reply, UnknownClass
from pearstall.net.platform import HEALTH, MAX_WAIT_SECONDS, Labels, PlatformServer, decimal, number_of

CHAT, COMPLETIONS, MODELS = "/v1/chat/completions", "/v1/completions", "/v1/models"
CHARACTERS_PER_TOKEN = 4


class Message(msgspec.Struct):
    role: str
    content: str | list[Any] | None = None


class RequestBody(msgspec.Struct):
    """The fields of a body that the router reads; all others are forwarded unchanged."""

    model: str
    messages: list[Message] | None = None
    prompt: str | list[Any] | None = None
    stream: bool | None = False
    user: str | None = None


def error(status: int, message: str, kind: str, code: str | None = None, **headers: str) -> Reply:
    body = {"error": {"message": message, "type": kind, "param": None, "code": code}}
    http_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return Reply(status, msgspec.json.encode(body), http_headers)


def invalid(message: str, status: int = 400, code: str | None = None, **headers: str) -> Reply:
    return error(status, message, "invalid_request_error", code, **headers)


def unknown_class(message: str) -> UnknownClass:
    reply = invalid(message)
    return UnknownClass(reply.status, reply.body, reply.headers, reply.content_type)


class OpenAIFront:
    """`make_id` creates the id of an answer whose request had none."""

    def __init__(
        self,
        config: OpenAIConfig,
        names: Names,
        settings: Settings,
        make_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self.config = config
        self.make_id = make_id
        self.adopt(names, settings)
        self.models = config.models or list(config.classes)
        # The platform's servers identify a query by the id that its client chose; the router never creates one.
        self.needs_id = "platform" in (config.server_form, *config.server_forms.values())
        self.ready = False

    def adopt(self, names: Names, settings: Settings) -> None:
        """Sets the names of classes and tenants, and the longest wait of each class."""
        self.lanes = {lane.name: number for number, lane in enumerate(names.lanes)}
        self.tenants = {account.name: number for number, account in enumerate(names.accounts)}
        self.lane_names = [lane.name for lane in names.lanes]
        self.give_up = [klass.give_up / 1e6 for klass in settings.classes]

    def direct_reply(self, head: Head) -> Reply | None:
        path = head.path
        if path in (CHAT, COMPLETIONS):
            allowed = "POST"
        elif path in (MODELS, HEALTH) or path.startswith(MODELS + "/"):
            allowed = "GET"
        else:
            return invalid(f"Unknown path: {path}", 404, "unknown_url")
        if head.method != allowed:
            return invalid(f"{path} takes {allowed}", 405, "method_not_allowed", Allow=allowed)
        if allowed == "POST":
            return None
        if path == HEALTH:
            return Reply(200 if self.ready else 503)
        models = [{"id": id, "object": "model", "created": 0, "owned_by": "pearstall"} for id in self.models]
        if path == MODELS:
            return Reply(200, msgspec.json.encode({"object": "list", "data": models}))
        name = path.removeprefix(MODELS + "/")
        for model in models:
            if model["id"] == name:
                return Reply(200, msgspec.json.encode(model))
        return _unknown_model(name)

    def read(self, head: Head, body: bytes, received_at: float, answer: Answer) -> Query | Reply:
        try:
            request = msgspec.json.decode(body, type=RequestBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as problem:
            return invalid(f"The body can't be read: {problem}")
        texts = _prompt_texts(request, head.path)
        if not texts:
            return invalid("messages must not be empty" if head.path == CHAT else "prompt is missing")
        if self.models and request.model not in self.models:
            return _unknown_model(request.model)
        headers, config = head.headers, self.config
        txn = headers.get("x-txn") or headers.get("x-request-id") or ""
        if self.needs_id and not txn:
            return invalid("X-Request-Id is missing: these model servers want an id of the client's own")
        lane = self.lanes.get(headers.get("x-lane") or config.classes.get(request.model) or config.default_class, -1)
        if lane < 0:
            return unknown_class("X-Lane names no class" if "x-lane" in headers else "this model has no class")
        timeout: float | None = config.deadline_s.get(self.lane_names[lane], self.give_up[lane])
        if "x-remaining" in headers:
            timeout = decimal(headers["x-remaining"])
        if timeout is None:
            return invalid("X-Remaining is no number of seconds")
        key = headers.get("authorization", "").removeprefix("Bearer ").strip()
        tenant = headers.get("x-org") or config.tenants.get(key) or config.default_tenant
        labels = Labels(headers.get("x-labels", ""))
        prompt = sum(map(len, texts)) / CHARACTERS_PER_TOKEN
        first_message = texts[0] if len(texts) > 1 else ""  # usually a system prompt that many conversations share
        session = headers.get("x-entity") or (request.user if config.session_from_user else None) or ""
        streams = bool(request.stream)
        return Query(
            class_index=lane,
            deadline=received_at + min(timeout, MAX_WAIT_SECONDS),
            answer=answer,
            target=head.target,
            body=body if streams else _as_stream_request(body),
            txn=txn,
            prompt_tokens=labels.number("prompt_len", prompt),
            session=number_of(session),
            prefix=number_of(labels.values.get("prefix") or first_message),
            prefix_tokens=labels.number("prefix_len", len(first_message) / CHARACTERS_PER_TOKEN),
            tenant=self.tenants.get(tenant, len(self.tenants)),
            streams=streams,
        )

    def id_header_line(self, head: Head | None) -> str:
        """Every answer carries the id of its request: the client's own, or else one created here."""
        given = head.headers.get("x-request-id", "") if head is not None else ""
        return f"X-Request-Id: {given or self.make_id()}"

    def malformed(self, why: Malformed) -> Reply:
        return invalid(why.why, why.status)

    def refused(self, retry_after: int) -> Reply:
        reply = error(503, "The model servers are busy; try again later.", "server_error", "overloaded")
        if retry_after:
            # HTTP only allows whole seconds; clients of this API also read milliseconds.
            reply.headers["Retry-After"] = str(math.ceil(retry_after / 1e6))
            reply.headers["Retry-After-Ms"] = str(retry_after // 1000)
        return reply

    def failed(self, timed_out: bool) -> Reply:
        if timed_out:
            return error(504, "No model server answered in time.", "server_error", "timeout")
        return error(502, "The model servers failed to answer.", "server_error", "bad_gateway")

    def complete_answer(self, query: Query, events: bytes) -> Reply:
        """Assembles one object from the events of a stream."""
        try:
            return _assemble(events, query.target.partition("?")[0] == CHAT)
        except (msgspec.DecodeError, AttributeError, TypeError, KeyError, ValueError):
            return error(502, "A model server's answer can't be read.", "server_error", "bad_gateway")


def _unknown_model(name: str) -> Reply:
    return invalid(f"The model {name!r} does not exist.", 404, "model_not_found")


def _prompt_texts(request: RequestBody, path: str) -> list[str]:
    if path == CHAT:
        contents: list[Any] = [message.content for message in request.messages or []]
    elif isinstance(request.prompt, list):
        contents = list(request.prompt)
    else:
        contents = [] if request.prompt is None else [request.prompt]
    return [_content_text(content) for content in contents]


def _content_text(content: Any) -> str:
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        texts = [part.get("text") for part in content if isinstance(part, dict)]
        return "".join(text for text in texts if isinstance(text, str))
    return ""


def _as_stream_request(body: bytes) -> bytes:
    """Model servers are always asked for a stream: the first event is the only sign that an answer has begun."""
    fields = msgspec.json.decode(body, type=dict[str, Any])
    return msgspec.json.encode(fields | {"stream": True, "stream_options": {"include_usage": True}})


def _assemble(events: bytes, chat: bool) -> Reply:
    out: dict[str, Any] = {
        "id": "",
        "object": "chat.completion" if chat else "text_completion",
        "created": 0,
        "model": "",
        "choices": [],
    }
    choices: dict[int, dict[str, Any]] = {}
    for payload in payloads(events):
        if payload == b"[DONE]":
            break
        event = msgspec.json.decode(payload, type=dict[str, Any])
        if event.get("error"):
            return Reply(502, msgspec.json.encode({"error": event["error"]}))
        for key in ("id", "created", "model", "system_fingerprint"):
            if event.get(key) and not out.get(key):
                out[key] = event[key]
        if event.get("usage"):
            out["usage"] = event["usage"]
        for part in event.get("choices") or []:
            index = part.get("index", 0)
            if index not in choices:
                empty: dict[str, Any] = {"role": "assistant", "content": None} if chat else {}
                choices[index] = {"index": index, "finish_reason": None, "logprobs": None}
                choices[index]["message" if chat else "text"] = empty if chat else ""
            choice = choices[index]
            if part.get("finish_reason"):
                choice["finish_reason"] = part["finish_reason"]
            if part.get("logprobs"):
                choice["logprobs"] = _merge_delta(choice["logprobs"] or {}, part["logprobs"])
            if chat:
                choice["message"] = _merge_delta(choice["message"], part.get("delta") or {})
            else:
                choice["text"] += part.get("text") or ""
    if not choices:
        raise ValueError("no choices")
    for choice in choices.values():
        for call in (choice.get("message") or {}).get("tool_calls") or []:
            call.pop("index", None)  # only part of the streamed form
    out["id"] = out["id"] or f"{'chatcmpl' if chat else 'cmpl'}-{uuid.uuid4().hex}"
    out["created"] = out["created"] or int(time.time())
    out["choices"] = [choices[index] for index in sorted(choices)]
    return Reply(200, msgspec.json.encode(out))


def _merge_delta(merged: dict[str, Any], delta: dict[str, Any]) -> dict[str, Any]:
    """Adds a delta: strings are concatenated, lists extended, and list items with the same index merged."""
    out = dict(merged)
    for key, value in delta.items():
        before = out.get(key)
        if value is None:
            out.setdefault(key, None)
        elif before is None or key in ("role", "type", "id", "index"):
            out[key] = value
        elif isinstance(before, str) and isinstance(value, str):
            out[key] = before + value
        elif isinstance(before, dict) and isinstance(value, dict):
            out[key] = _merge_delta(before, value)
        elif isinstance(before, list) and isinstance(value, list):
            out[key] = list(before)
            for item in value:
                index = item.get("index") if isinstance(item, dict) else None
                same = [n for n, other in enumerate(out[key]) if index is not None and other.get("index") == index]
                if same:
                    out[key][same[0]] = _merge_delta(out[key][same[0]], item)
                else:
                    out[key].append(item)
        else:
            out[key] = value
    return out


class OpenAIServer(PlatformServer):
    """Servers with the OpenAI-style API. A status of 429 or 503 means that they have not started the request."""

    def request(self, query: Query, address: tuple[str, int], timeout: float) -> bytes:
        given = f"X-Request-Id: {query.txn}\r\n" if query.txn else ""
        return (
            f"{query.method} {query.target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n{given}"
            f"Accept: text/event-stream\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(query.body)}\r\n\r\n"
        ).encode("latin-1") + query.body

    def blames_query(self, head: Head) -> bool:
        return head.status in (400, 404, 413, 422)

    def turned_away(self, head: Head) -> bool:
        return head.status in (429, 503) or super().turned_away(head)
