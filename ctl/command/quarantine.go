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
	release.AddPositionalValue(&a.flags.first, "print", 1, true, "the request's print")
	q.AttachSubcommand(list, 1)
	q.AttachSubcommand(release, 1)
	return []verb{{list, (*app).quarantineList}, {release, (*app).quarantineRelease}}
}

// relays is a client of relaying nodes; they ask operators for no key.
func (a *app) relays() (*client.Relays, error) {
	if len(a.flags.nodes) == 0 {
		return nil, usage("want --node URL, of the address where a node answers whether it is ready")
	}
	if a.flags.output != formatTable && a.flags.output != formatJSON {
		return nil, usage("output %q: want table or json", a.flags.output)
	}
	return client.NewRelays(a.flags.nodes), nil
}

func (a *app) quarantineList() error {
	c, err := a.relays()
	if err != nil {
		return err
	}
	held, err := c.Quarantine(context.Background())
	if err != nil {
		return err
	}
	lines := lo.Map(held, func(h quarantine.HeldWord, _ int) []string {
		since, left := milliseconds(h.AgeMs), milliseconds(h.ForMs-h.AgeMs)
		return []string{h.Print.String(), h.Customer, h.Route, strconv.Itoa(h.Round), since, left, strings.Join(h.Ends, " ")}
	})
	return a.print(held, []string{"PRINT", "CUSTOMER", "ROUTE", "ROUND", "SINCE", "LEFT", "ENDED"}, lines)
}

func milliseconds(n int64) string {
	return (time.Duration(n) * time.Millisecond).Round(time.Second).String()
}

func (a *app) quarantineRelease() error {
	c, err := a.relays()
	if err != nil {
		return err
	}
	var print quarantine.Print
	if err := print.UnmarshalText([]byte(a.flags.first)); err != nil {
		return usage("%v", err)
	}
	if err := c.Release(context.Background(), print); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s is let go\n", print)
	return err
}
