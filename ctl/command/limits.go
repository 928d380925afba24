package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/integrii/flaggy"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/limit"
)

func (a *app) limitsCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("limits")
	c.Description = "endpoints that name a limit, since when, and what a node may send there"
	return c
}

func (a *app) limits() error {
	c, err := a.relayClient()
	if err != nil {
		return err
	}
	all, err := c.Limits(context.Background())
	if err != nil {
		return err
	}
	lines := lo.Map(all, func(l limit.Listed, _ int) []string {
		return []string{
			l.Endpoint, l.Service, l.Zone, strconv.FormatFloat(l.PerSecond, 'f', -1, 64), roundedSeconds(l.SinceMs), roundedSeconds(l.AgeMs), l.From,
			fmt.Sprintf("%d of %d in %s", l.Sent, l.Part, roundedSeconds(l.WindowMs)),
		}
	})
	return a.print(all, []string{"ENDPOINT", "SERVICE", "ZONE", "PER-SECOND", "SINCE", "AGE", "FROM", "SENT-HERE"}, lines)
}
