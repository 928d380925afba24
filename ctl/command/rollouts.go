package command

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"github.com/integrii/flaggy"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/ctl/logs"
)

func (a *app) rolloutsCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("rollouts")
	c.Description = "what became of each order to move a service to another version, from the logs of relaying nodes"
	a.addLogFlags(c)
	return c
}

func (a *app) rollouts() error {
	lines, err := a.readLogs()
	if err != nil {
		return err
	}
	rollouts := logs.Rollouts(lines)
	if a.flags.output == formatJSON {
		return a.print(rollouts, nil, nil)
	}
	for _, r := range rollouts {
		fmt.Fprintf(a.out, "%s to %s, ordered for %v, first seen %s: %s (%s)\n", r.Service, r.Target,
			time.Duration(r.DurationMs)*time.Millisecond, r.FirstObserved.Format(time.RFC3339Nano), r.State, cmp.Or(r.Why, "no status"))
		if err := a.printRollout(r); err != nil {
			return err
		}
	}
	return nil
}

// printRollout prints the steps, the answers and the reports of a bad target of one order.
func (a *app) printRollout(r logs.Rollout) error {
	steps := make([][]string, 0, len(r.Steps))
	for _, s := range r.Steps {
		stage := lo.Ternary(s.State == "in-progress", s.Stage, "")
		steps = append(steps, []string{
			s.At.Format(time.RFC3339Nano), s.State, stage, strconv.FormatFloat(s.Share, 'f', 3, 64), strconv.FormatInt(s.ElapsedMs, 10),
			strconv.FormatInt(s.RemainingMs, 10), s.Writer, strconv.Itoa(s.Nodes), s.LastNode, strconv.FormatInt(s.LastDelayMs, 10), s.Why,
		})
	}
	if err := a.print(nil, []string{"AT", "STATE", "STAGE", "SHARE", "USED-MS", "LEFT-MS", "WRITER", "NODES", "LAST", "LAST-MS", "WHY"}, steps); err != nil {
		return err
	}
	answers := make([][]string, 0, len(r.Answers))
	for _, n := range r.Answers {
		row := []string{n.Route}
		for _, count := range []int64{n.Old, n.OldBad, n.Target, n.TargetBad} {
			row = append(row, strconv.FormatInt(count, 10))
		}
		answers = append(answers, row)
	}
	if err := a.print(nil, []string{"ROUTE", "OLD", "OLD-BAD", "TARGET", "TARGET-BAD"}, answers); err != nil {
		return err
	}
	for _, n := range r.BadReports {
		fmt.Fprintf(a.out, "%s %s heard from %s that it is bad: %s\n", n.At.Format(time.RFC3339Nano), n.Node, n.Reporter, n.Why)
	}
	fmt.Fprintf(a.out, "writes of the status that did not take effect: %d\n\n", r.RefusedWrites)
	return nil
}
