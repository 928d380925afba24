package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/operator"
)

func (a *app) status() error {
	c, err := a.client()
	if err != nil {
		return err
	}
	s, err := c.Status(context.Background())
	if err != nil {
		return err
	}
	lines := lo.Map(s.Nodes, func(n operator.NodeStatus, _ int) []string {
		return []string{"node", string(n.Name), string(n.Zone), n.State, fmt.Sprintf("revision %d of %d", n.Revision, s.Revision), n.Why}
	})
	for _, e := range s.Endpoints {
		lines = append(lines, []string{"endpoint", string(e.Name), string(e.Zone), e.State, fmt.Sprintf("%d in flight", e.InFlight), ""})
	}
	for _, d := range s.Degraded {
		lines = append(lines, []string{"degraded", d.What, "", "", "since " + d.Since.Format(timeFormat), d.Why})
	}
	return a.print(s, []string{"WHAT", "NAME", "ZONE", "STATE", "MORE", "WHY"}, lines)
}

func budgetLine(b operator.BudgetStatus) []string {
	n := func(v int64) string { return strconv.FormatInt(v, 10) }
	return []string{string(b.Name), string(b.Customer), n(b.Limit), n(b.Spent), n(b.Reserved), n(b.Available), n(b.Stranded)}
}

var budgetHeader = []string{"BUDGET", "CUSTOMER", "LIMIT", "SPENT", "RESERVED", "AVAILABLE", "STRANDED"}

func (a *app) budgetList() error {
	c, err := a.client()
	if err != nil {
		return err
	}
	budgets, err := c.Budgets(context.Background())
	if err != nil {
		return err
	}
	return a.print(budgets, budgetHeader, lo.Map(budgets, func(b operator.BudgetStatus, _ int) []string { return budgetLine(b) }))
}

func (a *app) budgetShow() error {
	c, err := a.client()
	if err != nil {
		return err
	}
	b, err := c.Budget(context.Background(), a.flags.argument)
	if err != nil {
		return err
	}
	lines := [][]string{budgetLine(b)}
	for _, h := range b.Holdings {
		lines = append(lines, []string{"  held by " + string(h.Node), string(h.Zone), strconv.FormatInt(h.Tokens, 10), strconv.FormatInt(h.Settled, 10), strconv.FormatInt(h.Reserved, 10), "", h.Why})
	}
	return a.print(b, budgetHeader, lines)
}

func (a *app) bills() error {
	c, err := a.client()
	if err != nil {
		return err
	}
	bills, err := c.Bills(context.Background(), a.flags.budget)
	if err != nil {
		return err
	}
	lines := lo.Map(bills, func(b bill.Bill, _ int) []string {
		return []string{
			string(b.Request), string(b.Customer), string(b.Budget), strconv.FormatInt(b.PromptTokens, 10),
			strconv.FormatInt(b.OutputTokens, 10), strconv.FormatInt(b.Tokens, 10), string(b.Node), b.At.Format(timeFormat),
		}
	})
	return a.print(bills, []string{"REQUEST", "CUSTOMER", "BUDGET", "PROMPT", "OUTPUT", "TOKENS", "NODE", "AT"}, lines)
}

func (a *app) explain() error {
	c, err := a.client()
	if err != nil {
		return err
	}
	x, err := c.Explain(context.Background(), a.flags.argument)
	if err != nil {
		return err
	}
	lines := lo.Map(x.Events, func(e event.Event, _ int) []string {
		return []string{e.At.Format(timeFormat), string(e.Node), string(e.Step), e.Peer, e.Decision, e.Reason}
	})
	for _, n := range x.Unreachable {
		lines = append(lines, []string{"", string(n), "", "", "could not be asked", ""})
	}
	return a.print(x, []string{"AT", "NODE", "STEP", "PEER", "DECISION", "REASON"}, lines)
}

func (a *app) drain() error {
	c, err := a.client()
	if err != nil {
		return err
	}
	s, err := c.Drain(context.Background(), a.flags.argument)
	if err != nil {
		return err
	}
	return a.print(s, []string{"NODE", "ZONE", "STATE"}, [][]string{{string(s.Name), string(s.Zone), s.State}})
}
