package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/ctl/client"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

func (a *app) quarantineVerbs(parser *flaggy.Parser) []verb {
	q := flaggy.NewSubcommand("quarantine")
	q.Description = "requests that are sent to no endpoint, since endpoints ended under them"
	parser.AttachSubcommand(q, 1)
	list := flaggy.NewSubcommand("list")
	list.Description = "which are held back, since when, on what evidence"
	release := flaggy.NewSubcommand("release")
	release.Description = "let one go at all nodes, and forget what ended under it"
	release.AddPositionalValue(&a.flags.argument, "print", 1, true, "the request's print")
	q.AttachSubcommand(list, 1)
	q.AttachSubcommand(release, 1)
	return []verb{{list, (*app).quarantineList}, {release, (*app).quarantineRelease}}
}

// relayClient returns a client of the relaying nodes. Their operators' interface needs no key.
func (a *app) relayClient() (*client.RelayClient, error) {
	if len(a.flags.nodes) == 0 {
		return nil, usage("want --node URL, of the address where a node answers whether it is ready")
	}
	if a.flags.output != formatTable && a.flags.output != formatJSON {
		return nil, usage("output %q: want table or json", a.flags.output)
	}
	return client.NewRelayClient(a.flags.nodes), nil
}

func (a *app) quarantineList() error {
	c, err := a.relayClient()
	if err != nil {
		return err
	}
	quarantined, err := c.Quarantine(context.Background())
	if err != nil {
		return err
	}
	lines := lo.Map(quarantined, func(h quarantine.HeldReport, _ int) []string {
		since, left := roundedSeconds(h.AgeMs), roundedSeconds(h.ForMs-h.AgeMs)
		return []string{h.Fingerprint.String(), h.Customer, h.Route, strconv.Itoa(h.Round), since, left, lo.CoalesceOrEmpty(h.Part, "-"), strings.Join(h.Ends, " ")}
	})
	return a.print(quarantined, []string{"PRINT", "CUSTOMER", "ROUTE", "ROUND", "SINCE", "LEFT", "PART", "ENDED"}, lines)
}

// roundedSeconds formats a number of milliseconds as a duration, rounded to seconds.
func roundedSeconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}

func (a *app) quarantineRelease() error {
	c, err := a.relayClient()
	if err != nil {
		return err
	}
	var print quarantine.Fingerprint
	if err := print.UnmarshalText([]byte(a.flags.argument)); err != nil {
		return usage("%v", err)
	}
	if err := c.Release(context.Background(), print); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s is let go\n", print)
	return err
}
