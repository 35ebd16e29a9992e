"""A toy model server: it answers each chat or completion with the words of the last message, one word per event.

python examples/toy_server.py 7101
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from typing import Any

STEP = 0.05  # seconds per word


def words_of(body: dict[str, Any]) -> list[str]:
    messages = body.get("messages") or [{"content": body.get("prompt", "")}]
    return f"You said: {messages[-1].get('content')}".split()


async def answer(writer: asyncio.StreamWriter, path: str, body: dict[str, Any]) -> None:
    chat, model = path.endswith("/chat/completions"), body.get("model", "toy")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")

    async def event(choices: list[dict[str, Any]], **more: Any) -> None:
        kind = "chat.completion.chunk" if chat else "text_completion"
        row = {"id": "toy-1", "object": kind, "created": 0, "model": model, "choices": choices, **more}
        await send(f"data: {json.dumps(row)}\n\n".encode())

    async def send(data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await writer.drain()

    words = words_of(body)
    for number, word in enumerate(words):
        await asyncio.sleep(STEP)
        text = word if number == len(words) - 1 else word + " "
        part = {"delta": {"content": text}} if chat else {"text": text}
        end = "stop" if number == len(words) - 1 else None
        await event([{"index": 0, "finish_reason": end, **part}])
    await event([], usage={"prompt_tokens": 0, "completion_tokens": len(words), "total_tokens": len(words)})
    await send(b"data: [DONE]\n\n")
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:]}
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            print(head[0], flush=True)
            await answer(writer, head[0].split(" ")[1], json.loads(body or b"{}"))
    except (asyncio.IncompleteReadError, ConnectionError):
        pass  # the router closed the connection
    finally:
        writer.close()


async def main(port: int) -> None:
    server = await asyncio.start_server(serve_connection, "127.0.0.1", port)
    print(f"toy model server on 127.0.0.1:{port}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 7101))
