"""The whole path, as separate processes."""

import curio
import openai
import pytest

from crankhinge_bench._cluster import Cluster
from crankhinge_bench._load import LoadGenerator
from crankhinge_bench._trace import Arrival
from crankhinge_standins._model import make_answer


def make_client(cluster: Cluster, credential: str | None = None) -> openai.OpenAI:
    """Return an unchanged client library that talks to the entry."""
    return openai.OpenAI(
        base_url=f"http://127.0.0.1:{cluster.entry_ports[0]}/v1",
        api_key=credential or cluster.credentials["naas-office"],
        max_retries=0,
    )


class TestClientLibrary:
    """An unchanged client library gets answers."""

    def test_streams_a_chat_completion(self, cluster: Cluster) -> None:
        """The pieces of a streamed chat answer are the engine's."""
        messages = [{"role": "user", "content": "who approves the sheet"}]
        stream = make_client(cluster).chat.completions.create(
            model="m1", messages=messages, max_tokens=7, stream=True
        )
        pieces = [c.choices[0].delta.content for c in stream if c.choices[0].delta.content]
        assert pieces == make_answer({"messages": messages, "max_tokens": 7})

    def test_answers_whole(self, cluster: Cluster) -> None:
        """An answer that isn't streamed carries its usage."""
        answer = make_client(cluster).completions.create(
            model="m1", prompt="one two three", max_tokens=4
        )
        assert answer.choices[0].text == "".join(
            make_answer({"prompt": "one two three", "max_tokens": 4})
        )
        assert answer.usage is not None
        assert answer.usage.completion_tokens == 4

    def test_refuses_a_wrong_credential(self, cluster: Cluster) -> None:
        """A wrong credential is a typed error that says "not run"."""
        with pytest.raises(openai.AuthenticationError) as caught:
            make_client(cluster, "wrong").completions.create(model="m1", prompt="x")
        assert caught.value.response.headers["x-request-outcome"] == "not-run"

    def test_names_an_unknown_model(self, cluster: Cluster) -> None:
        """An unknown model is a typed error."""
        with pytest.raises(openai.NotFoundError) as caught:
            make_client(cluster).completions.create(model="m9", prompt="x")
        assert caught.value.code == "unknown-model"


class TestStreams:
    """Many streams at once."""

    def test_concurrent_streams_are_neither_crossed_nor_cut(self, cluster: Cluster) -> None:
        """Every answer of 36 at once equals the engine's, token for token."""
        trace = [Arrival(0.0, "naas-office", f"prompt {n}", 30) for n in range(36)]
        runner = LoadGenerator(cluster.entry_ports, cluster.credentials)
        outcomes = curio.run(runner.run, trace)
        assert [seen for seen in outcomes if seen.wrong or not seen.complete] == []
