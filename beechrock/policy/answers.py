"""Answers to callers: one for each request; a request that may have had an effect is never rejected."""

from beechrock import interface as api
from beechrock.policy.context import Context
from beechrock.policy.idempotency import IdempotencyKeys
from beechrock.policy.phases import FINISHED, HELD, SHARING
from beechrock.policy.requests import OpenRequest, RequestTable
from beechrock.policy.tenants import TenantBudgets


class Answers:
    """Sends the node's own answers; refunds the budget and forgets the key of a request that never ran."""

    def __init__(
        self, context: Context, table: RequestTable, keys: IdempotencyKeys, budgets: TenantBudgets
    ) -> None:
        self._context = context
        self._table = table
        self._keys = keys
        self._budgets = budgets

    def send(self, entry: OpenRequest, action: api.Action | None) -> None:
        """Answer with this action; None means that the caller has left and no answer is needed."""
        if action is not None:
            self._context.actions.append(action)
        entry.answered = True
        if entry.phase in (HELD, SHARING):
            self._table.move(entry, FINISHED)
            self._budgets.refund(entry)
            if not entry.may_have_run:
                self._keys.forget(entry.request.id)

    def give_up(self, entry: OpenRequest) -> None:
        """Answer a request that will get no result, unless it already has an answer."""
        if entry.answered:
            return
        if entry.may_have_run and not entry.idempotent:
            self.send(entry, api.Fail(entry.request.id))
        else:
            self.send(entry, api.Reject(entry.request.id, None, no_retry=True))
