// Package demo runs a small deployment in one process on loopback ports: the stand-in of the platform,
// endpoints, and nodes in each availability zone.
package demo

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Deployment describes the size and the services of a demo.
type Deployment struct {
	Name         string
	Zones        []string
	Nodes        int
	Engines      int
	Applications int
	Customers    int
	Services     []ServiceRow
	TokenTime    time.Duration
}

// ServiceRow is a row of the table for a service.
type ServiceRow struct {
	Name       string
	Model      bool
	Repeatable string
	Priority   string
}

const (
	budgetTokens      = 2_000_000
	largeBudgetTokens = 20_000_000
	largeCustomers    = 3
	largeWeight       = 4
	maxInFlight       = 16
	maxOutputTokens   = 8192
)

// Sofia returns a deployment of translation engines and a translation memory in four zones.
func Sofia() Deployment {
	return Deployment{
		Name: "sofia", Zones: []string{"zone-a", "zone-b", "zone-c", "zone-d"},
		Nodes: 8, Engines: 10, Applications: 4, Customers: 10, TokenTime: 4 * time.Millisecond,
		Services: []ServiceRow{
			{Name: "suggest", Model: true, Priority: "interactive"},
			{Name: "glossary", Model: true, Priority: "interactive"},
			{Name: "render", Model: true, Priority: "batch"},
			{Name: "memory", Repeatable: "GET,HEAD", Priority: "interactive"},
			{Name: "locks", Repeatable: "GET,HEAD", Priority: "interactive"},
		},
	}
}

// Chile returns a deployment of language models and tournament records in three zones.
func Chile() Deployment {
	return Deployment{
		Name: "chile", Zones: []string{"zone-a", "zone-b", "zone-c"},
		Nodes: 7, Engines: 12, Applications: 3, Customers: 10, TokenTime: 4 * time.Millisecond,
		Services: []ServiceRow{
			{Name: "rulings", Model: true, Priority: "interactive"},
			{Name: "pairings", Model: true, Priority: "interactive"},
			{Name: "commentary", Model: true, Priority: "batch"},
			{Name: "standings", Repeatable: "GET,HEAD", Priority: "interactive"},
			{Name: "registrations", Repeatable: "GET,HEAD", Priority: "interactive"},
		},
	}
}

// Get returns a deployment by name.
func Get(name string) (Deployment, error) {
	switch name {
	case "sofia":
		return Sofia(), nil
	case "chile":
		return Chile(), nil
	default:
		return Deployment{}, errors.Newf("deployment %q: want sofia or chile", name)
	}
}

// WithNodes returns the deployment with n nodes, or unchanged if n is not positive.
func (d Deployment) WithNodes(n int) Deployment {
	if n > 0 {
		d.Nodes = n
	}
	return d
}

func (d Deployment) zoneOf(i int) string { return d.Zones[i%len(d.Zones)] }

// nodeName joins the deployment's name, the last letter of the zone and the node's number in the zone.
func (d Deployment) nodeName(i int) string {
	zone := d.zoneOf(i)
	return fmt.Sprintf("%s-%s-%d", d.Name, zone[len(zone)-1:], i/len(d.Zones)+1)
}

func (d Deployment) customerName(i int) string { return fmt.Sprintf("customer-%02d", i+1) }
