"""A request on its way to the agent, and the exchange that opens a link to it, for tests of that link."""

from beechrock.core.requests import Answer, Request

UP = '%s = accept agent\n%s < "subscribe 0\\r\\n"\n%s > "greeting LOADED 5000\\r\\n"\nup agent\n'
TRACE = "00000000000000aa"


def request() -> Request:
    """Return a running request that gets no answer."""

    def answer(reported: Answer) -> None:
        raise AssertionError(reported)

    return Request(trace=TRACE, klass=0, route="resolve", born=0.0, body=b"x", answer=answer, running=True)
