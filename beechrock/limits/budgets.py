"""Budgets with periods: a request's start reserves its price, and its end settles or refunds it once.

Pure; O(1) per operation. Amounts are whole millionths, so that sums are exact. An account is a team's budget
of one period, found by the period's number (Unix time divided by the period's length).

Invariants: a reservation never brings an account of a hard budget beyond its amount plus what was carried
over; a reservation ends once, by settling or refund, in the account that paid; an account that was dropped
never opens again, so no jump of a clock lets a team spend an amount twice in a period.
"""

from dataclasses import dataclass, field, replace

from beechrock.inventory.terms import Plan, whole

MAX_ACCOUNTS = 4  # number of accounts kept per team: those of its latest periods


@dataclass(slots=True)
class Account:
    """A team's budget of one period; all amounts in millionths."""

    period: int  # number of the period
    carried_in: int = 0  # unspent amount taken over from the period before
    carried_out: int = 0  # amount given to the next period; not available here if the clock goes back
    spent: int = 0  # amount settled and reserved
    reserved: int = 0  # amount of open reservations
    ceiling: int = 0  # highest value of ``spent`` that the entry on the disk allows
    warnings_given: int = 0  # number of the plan's warnings that were given


@dataclass(slots=True, eq=False)
class Reservation:
    """The price that one start has reserved in an account."""

    account: Account
    price: int
    per_cost: float
    open: bool = True


@dataclass(frozen=True, slots=True)
class Balance:
    """Remaining amount of a budget, in millionths, and the seconds until its period ends."""

    remaining: int
    period_ends_in_s: float


@dataclass(slots=True)
class Budget:
    """One team's budget. Where ``durable`` is False, nothing is on a disk and no ceiling applies."""

    team: str
    plan: Plan
    durable: bool = False
    accounts: dict[int, Account] = field(default_factory=dict)  # accounts keyed by period number
    last_closed_period: int = -1  # periods up to this number never open again
    current: Account | None = None  # the account that was looked up last
    warnings: list[tuple[int, float]] = field(
        default_factory=list
    )  # not logged yet: period number, share reached

    # --- queries

    def period_at(self, wall: float) -> int:
        """Return the number of the period at this Unix time."""
        return max(0, int(wall // self.plan.period_s))

    def account(self, wall: float) -> Account | None:
        """Return the account at this Unix time, opened if it is new; None where its period is closed."""
        period = self.period_at(wall)
        account = self.accounts.get(period)
        if account is None and period > self.last_closed_period:
            account = self.accounts[period] = Account(period, self._carry_over(period))
            for old in sorted(self.accounts)[:-MAX_ACCOUNTS]:
                self.last_closed_period = max(self.last_closed_period, old)
                del self.accounts[old]
            account = self.accounts.get(period)  # None if it was the oldest, after the clock went back
        if account is not None:
            self.current = account
        return account

    def _carry_over(self, period: int) -> int:
        """Carry over unspent budget from the previous period; return the amount.

        An amount still reserved there counts as spent, even if it is refunded later.
        """
        before = self.accounts.get(period - 1)
        if before is None or not self.plan.carry:
            return 0
        carried = min(max(0, self.allowance(before) - before.spent), int(self.plan.carry * self.plan.amount))
        before.carried_out += carried
        return carried

    def allowance(self, account: Account) -> int:
        """Return an account's total: the plan's amount, plus the carry-over in, less the carry-over out."""
        return self.plan.amount + account.carried_in - account.carried_out

    def balance(self, wall: float) -> Balance:
        """Return the remaining budget at this Unix time; its amount is 0 if the period is closed."""
        account = self.account(wall)
        ends = (self.period_at(wall) + 1) * self.plan.period_s - wall
        return Balance(max(0, self.allowance(account) - account.spent) if account is not None else 0, ends)

    def over_soft_limit(self, wall: float) -> bool:
        """Return whether more than the soft share of the account is spent, or its period is closed."""
        account = self.account(wall)
        return account is None or account.spent > self.plan.soft * self.allowance(account)

    # --- changes

    def reserve(self, wall: float, price: int) -> Reservation | None:
        """Reserve the price of a start.

        Returns None if the period is closed, the amount is used up, or the durable ceiling is too low
        (see ``waits_for_disk``).
        """
        account = self.account(wall)
        if account is None:
            return None
        if self.plan.hard and account.spent + price > self.allowance(account):
            return None
        if self.durable and account.spent + price > account.ceiling:
            return None
        account.spent += price
        account.reserved += price
        self._queue_warnings(account)
        return Reservation(account, price, self.plan.per_cost)

    def waits_for_disk(self, wall: float, price: int) -> bool:
        """Return whether this price is refused only because the ceiling on the disk is not raised yet."""
        account = self.account(wall)
        return (
            self.durable
            and account is not None
            and account.spent + price > account.ceiling
            and (not self.plan.hard or account.spent + price <= self.allowance(account))
        )

    def settle(self, reservation: Reservation, cost_s: float) -> int:
        """End the reservation of a run that took ``cost_s`` seconds of work; return the charge.

        The charge is 0 if the reservation has already ended.
        """
        if not reservation.open:
            return 0
        reservation.open = False
        cost = whole(reservation.per_cost * cost_s) if reservation.per_cost else reservation.price
        reservation.account.spent += cost - reservation.price
        reservation.account.reserved -= reservation.price
        self._queue_warnings(reservation.account)
        return cost

    def refund(self, reservation: Reservation) -> int:
        """End the reservation of a request that never ran; return the refund, 0 if it was ended already."""
        if not reservation.open:
            return 0
        reservation.open = False
        reservation.account.spent -= reservation.price
        reservation.account.reserved -= reservation.price
        return reservation.price

    def change_plan(self, wall: float, plan: Plan) -> None:
        """Apply another plan; the spent amount is kept, even if the length of the periods changes."""
        if plan.period_s != self.plan.period_s:
            # With a new account, each change of the length would grant the full amount again.
            previous = self.account(wall)
            self.plan = plan
            period = self.period_at(wall)
            self.accounts, self.last_closed_period = {}, period - 1
            if previous is not None:
                # The account object stays, so that its open reservations settle in it. Its ceiling begins at
                # 0, as the disk has it under the old period number.
                previous.period, previous.ceiling = period, 0
                self.accounts[period] = self.current = previous
        self.plan = plan

    def _queue_warnings(self, account: Account) -> None:
        amount = self.allowance(account)
        while (
            account.warnings_given < len(self.plan.warn)
            and account.spent >= self.plan.warn[account.warnings_given] * amount
        ):
            self.warnings.append((account.period, self.plan.warn[account.warnings_given]))
            account.warnings_given += 1

    # --- the disk

    def increment(self, price: int) -> int:
        """Return how far above the spent amount a write sets the ceiling, in millionths."""
        return max(self.plan.amount // 64, 2 * price, 1)

    def is_near_ceiling(self, price: int) -> bool:
        """Return whether at most half an increment is left below the ceiling of the current account."""
        account = self.current
        return (
            self.durable
            and account is not None
            and account.ceiling - account.spent <= self.increment(price) // 2
        )

    def next_ceiling(self, price: int = 1) -> int | None:
        """Return the ceiling to write next; None where none is due, or a hard budget is covered in full."""
        account = self.current
        if account is None or not self.is_near_ceiling(price):
            return None
        increment, allowance = self.increment(price), self.allowance(account)
        if self.plan.hard and account.ceiling >= max(allowance, account.spent):
            return None
        ceiling = account.spent + increment
        return max(min(ceiling, allowance), account.spent) if self.plan.hard else ceiling

    def restore(self, wall: float, accounts: list[Account], last_closed_period: int) -> None:
        """Load the accounts of the disk into a new budget.

        All below the ceiling counts as spent, since nobody knows how much of it was.
        """
        self.last_closed_period, self.current = last_closed_period, None
        self.accounts = {
            account.period: replace(account, spent=account.ceiling, reserved=0) for account in accounts
        }
        self.account(wall)  # opened only now, as its carried-over amount comes from these accounts
