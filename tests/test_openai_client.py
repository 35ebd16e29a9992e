"""The OpenAI-style front, used through a published client library."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import openai
import pytest

from tests.net_support import LOCAL, ModelServer, running


def test_a_published_client_library_reads_answers_refusals_and_cut_streams(tmp_path: Path) -> None:
    script = ["serve", "serve", "serve", "half", "serve", "away", "away", "away"]

    async def scene() -> None:
        async with AsyncExitStack() as stack:
            server = await stack.enter_async_context(ModelServer("openai", *script).listening())
            program, ports = await stack.enter_async_context(running(tmp_path, [server], "openai"))
            base = f"http://{LOCAL}:{ports['openai']}/v1"
            client = openai.AsyncOpenAI(base_url=base, api_key="none", max_retries=0)
            await stack.enter_async_context(client)
            answer = await client.chat.completions.create(model="chat", messages=[{"role": "user", "content": "hi"}])
            assert answer.choices[0].message.content == "hellothere!" and answer.id == "c1"
            assert answer.usage is not None and answer.usage.completion_tokens == 3
            text = await client.completions.create(model="chat", prompt="hi")
            assert text.choices[0].text == "hellothere!" and text.choices[0].finish_reason == "stop"

            async def streamed(got: list[str]) -> None:
                events = await client.chat.completions.create(
                    model="chat", messages=[{"role": "user", "content": "hi"}], stream=True
                )
                async for event in events:
                    got.extend(choice.delta.content or "" for choice in event.choices)

            for expected, cut in ((3, False), (2, True), (3, False)):  # a cut stream, then a new request
                got: list[str] = []
                try:
                    await streamed(got)
                    assert not cut
                except Exception as error:
                    assert cut, error
                assert got == ["hello", "there", "!"][:expected]
            with pytest.raises(openai.InternalServerError) as refused:
                await streamed([])
            assert refused.value.status_code == 503 and refused.value.code == "overloaded"
            assert refused.value.response.headers["retry-after"] == "2"
            with pytest.raises(openai.BadRequestError):
                await client.chat.completions.create(model="chat", messages=[])
            with pytest.raises(openai.NotFoundError):
                await client.models.retrieve("none-such")
            assert (await client.models.list()).data == []
            assert (program.counters.served, program.counters.refused, program.counters.broken) == (4, 1, 1)

    asyncio.run(scene())
