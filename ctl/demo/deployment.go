// Package demo runs a whole small deployment in one process on loopback ports:
// the platform's stand-in, endpoints, and nodes in each availability zone.
package demo

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Deployment says what a demo consists of.
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

// ServiceRow is a service of a demo's table.
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

// Sofia is translation engines beside a translation memory, in four zones.
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

// Chile is language models beside tournament records, in three zones.
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

// Get finds a deployment by name.
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

// WithNodes is the deployment with another number of nodes; 0 leaves it.
func (d Deployment) WithNodes(n int) Deployment {
	if n > 0 {
		d.Nodes = n
	}
	return d
}

func (d Deployment) zoneOf(i int) string { return d.Zones[i%len(d.Zones)] }

// nodeName is a node's name: the deployment, its zone and its number in the zone.
func (d Deployment) nodeName(i int) string {
	zone := d.zoneOf(i)
	return fmt.Sprintf("%s-%s-%d", d.Name, zone[len(zone)-1:], i/len(d.Zones)+1)
}

func (d Deployment) customerName(i int) string { return fmt.Sprintf("customer-%02d", i+1) }
