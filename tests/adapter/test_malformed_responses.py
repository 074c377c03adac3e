"""Tests of responses of the store that can't be read."""

from __future__ import annotations

import pytest
import wire_store

from wisteriasill.links import cluster
from wisteriasill.links import http_client

BODIES = (b"", b"[]", b'{"ver":', b'{"ver":null,"rows":1}', b'{"rows":[{}]}')


@pytest.mark.parametrize("status", [200, 412])
@pytest.mark.parametrize("body", BODIES)
def test_the_outcome_of_a_malformed_response_is_unknown(
    status: int, body: bytes
) -> None:
    """The error ended the round of the pool that sent the transaction."""
    response = http_client.HttpResponse(status, (), body)
    fault = wire_store._decode_outcome(response).failure()
    assert fault.kind is cluster.StoreFaultKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize("body", BODIES)
def test_a_malformed_page_is_not_an_empty_one(body: bytes) -> None:
    """A new holder that read it as empty would start all tasks again."""
    response = http_client.HttpResponse(200, (), body)
    fault = wire_store._decode_page(response).failure()
    assert fault.kind is cluster.StoreFaultKind.UNAVAILABLE
