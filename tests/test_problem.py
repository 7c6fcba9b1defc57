import json

import pytest

from cassiawalk.caller.problem import problem_response
from cassiawalk.requests import Failed
from cassiawalk.results import CODES
from cassiawalk.results import NOT_RUN_STATUSES
from cassiawalk.results import Execution
from cassiawalk.results import ResultCode


# Guards against a status that says "not run" beside a body that says otherwise.
@pytest.mark.parametrize("ran", Execution)
@pytest.mark.parametrize("code", ResultCode)
def test_status_says_not_run_only_if_that_is_certain(code: ResultCode, ran: Execution) -> None:
    res = problem_response(Failed(code=code, detail="", ran=ran))
    body = json.loads(bytes(res.body))
    assert (body["status"], body["ran"]) == (res.status_code, ran.value)
    if ran is Execution.NOT_RUN:
        assert res.status_code == CODES[code].status
    else:
        assert res.status_code not in NOT_RUN_STATUSES
