"""Requests through an entry, agents and engines that run as separate processes."""

import curio
import openai
import pytest

from crankhinge_bench._cluster import Cluster
from crankhinge_bench._load import LoadGenerator
from crankhinge_bench._trace import Arrival
from crankhinge_standins._model import make_answer


def make_client(cluster: Cluster, credential: str | None = None) -> openai.OpenAI:
    """Return a client of the unmodified OpenAI library that calls the first entry."""
    return openai.OpenAI(
        base_url=f"http://127.0.0.1:{cluster.entry_ports[0]}/v1",
        api_key=credential or cluster.credentials["naas-office"],
        max_retries=0,
    )


class TestClientLibrary:
    """The unmodified OpenAI library as a caller."""

    def test_chat_completion_is_streamed(self, cluster: Cluster) -> None:
        """The chunks that the library receives equal the tokens that the engine generates."""
        messages = [{"role": "user", "content": "who approves the sheet"}]
        stream = make_client(cluster).chat.completions.create(
            model="m1", messages=messages, max_tokens=7, stream=True
        )
        pieces = [c.choices[0].delta.content for c in stream if c.choices[0].delta.content]
        assert pieces == make_answer({"messages": messages, "max_tokens": 7})

    def test_completion_without_streaming_has_usage(self, cluster: Cluster) -> None:
        """The answer has the engine's text and the numbers of prompt and answer tokens."""
        answer = make_client(cluster).completions.create(
            model="m1", prompt="one two three", max_tokens=4
        )
        assert answer.choices[0].text == "".join(
            make_answer({"prompt": "one two three", "max_tokens": 4})
        )
        assert answer.usage is not None
        assert answer.usage.completion_tokens == 4

    def test_wrong_credential_is_refused(self, cluster: Cluster) -> None:
        """The library raises its typed error, whose body has the outcome "not run"."""
        with pytest.raises(openai.AuthenticationError) as caught:
            make_client(cluster, "wrong").completions.create(model="m1", prompt="x")
        assert caught.value.response.headers["x-request-outcome"] == "not-run"

    def test_unknown_model_is_refused(self, cluster: Cluster) -> None:
        """The library raises its typed error with the code ``unknown-model``."""
        with pytest.raises(openai.NotFoundError) as caught:
            make_client(cluster).completions.create(model="m9", prompt="x")
        assert caught.value.code == "unknown-model"


class TestStreams:
    """Concurrent streams."""

    def test_concurrent_streams_are_neither_mixed_nor_cut(self, cluster: Cluster) -> None:
        """Each of 36 answers equals the one that the engine generates, token for token."""
        trace = [Arrival(0.0, "naas-office", f"prompt {n}", 30) for n in range(36)]
        runner = LoadGenerator(cluster.entry_ports, cluster.credentials)
        outcomes = curio.run(runner.run, trace)
        assert [seen for seen in outcomes if seen.wrong or not seen.complete] == []
