package command

import (
	"context"

	"github.com/integrii/flaggy"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/peer"
)

func (a *app) nodesCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("nodes")
	c.Description = "relaying nodes, and which build each runs"
	return c
}

func (a *app) nodes() error {
	c, err := a.relayClient()
	if err != nil {
		return err
	}
	all, err := c.Nodes(context.Background())
	if err != nil {
		return err
	}
	lines := lo.Map(all, func(m peer.Member, _ int) []string {
		return []string{m.Name, m.Zone, m.Address, lo.CoalesceOrEmpty(m.Build, "-"), m.Incarnation}
	})
	return a.print(all, []string{"NODE", "ZONE", "ADDRESS", "BUILD", "LIFE"}, lines)
}
