package command

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/memory"
)

func (a *app) memoryCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("memory")
	c.Description = "what a node holds for its callers, by customer, and how much of it may be evicted"
	return c
}

func (a *app) memory() error {
	c, err := a.relayClient()
	if err != nil {
		return err
	}
	report, err := c.Memory(context.Background())
	if err != nil {
		return err
	}
	lines := lo.Map(report.Customers, func(s memory.Share, _ int) []string {
		return []string{lo.CoalesceOrEmpty(s.Owner, "(not known)"), fmt.Sprint(s.Bytes)}
	})
	lines = append(lines,
		[]string{"all", fmt.Sprintf("%d of %d", report.HeldBytes, report.BoundBytes)},
		[]string{"may be evicted", fmt.Sprintf("%d, by %d of %d connections", report.WaitingBytes, report.Waiting, report.Connections)})
	return a.print(report, []string{"CUSTOMER", "BYTES"}, lines)
}
