package demo

import (
	"strconv"
	"strings"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// seedEdits returns the edits that create the table of a new deployment.
func (d *Demo) seedEdits() []table.Edit {
	var edits []table.Edit
	for _, s := range d.deployment.Services {
		kind := lo.Ternary(s.Model, "model", "plain")
		edits = append(edits, row(table.Service, s.Name, table.Cells{"type": kind, "repeatable": s.Repeatable, "priority": s.Priority}))
		if s.Model {
			edits = append(edits, row(table.Model, s.Name, table.Cells{"service": s.Name, "maxOutputTokens": strconv.Itoa(maxOutputTokens)}))
		}
	}
	for i, c := range d.info.Customers {
		weight, tokens := 1, budgetTokens
		if i < largeCustomers {
			weight, tokens = largeWeight, largeBudgetTokens
		}
		edits = append(edits,
			row(table.Customer, c.Name, table.Cells{"weight": strconv.Itoa(weight), "keyHashes": catalog.HashKey(c.Key)}),
			row(table.Budget, c.Name+"-main", table.Cells{"customer": c.Name, "services": "*", "limitTokens": strconv.Itoa(tokens)}))
	}
	edits = append(edits, d.endpointRows(d.info.Engines, true)...)
	return append(edits, d.endpointRows(d.info.Applications, false)...)
}

func (d *Demo) endpointRows(components []Component, model bool) []table.Edit {
	services := lo.FilterMap(d.deployment.Services, func(s ServiceRow, _ int) (string, bool) { return s.Name, s.Model == model })
	return lo.Map(components, func(p Component, _ int) table.Edit {
		return row(table.Endpoint, p.Name, table.Cells{
			"services": strings.Join(services, ","), "zone": p.Zone, "url": p.URL,
			"maxInFlight": strconv.Itoa(maxInFlight), "weight": "1", "checksFence": "true",
		})
	})
}

func row(k table.Kind, name string, cells table.Cells) table.Edit {
	return table.Edit{Kind: k, Name: name, Cells: lo.OmitByValues(cells, []string{""})}
}
