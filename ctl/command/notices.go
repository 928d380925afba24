package command

import (
	"context"

	"github.com/integrii/flaggy"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

func (a *app) noticesCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("notices")
	c.Description = "endpoints that say they leave, or ask for rest: since when, until when, by whose word"
	return c
}

func (a *app) notices() error {
	c, err := a.relayClient()
	if err != nil {
		return err
	}
	all, err := c.Notices(context.Background())
	if err != nil {
		return err
	}
	lines := lo.Map(all, func(l notice.Listed, _ int) []string {
		return []string{l.Endpoint, l.Service, l.Zone, l.Notice, roundedSeconds(l.SinceMs), lo.Ternary(l.LeftMs > 0, roundedSeconds(l.LeftMs), "its life"), l.From}
	})
	return a.print(all, []string{"ENDPOINT", "SERVICE", "ZONE", "SAYS", "SINCE", "LEFT", "FROM"}, lines)
}
