// Package catalog indexes one revision of the table for the request path.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// AllServices is the cell by which a budget covers every service.
const AllServices = "*"

// Defaults for cells that are not set.
const (
	defaultWeight           = 1
	defaultMaxOutput        = 512
	defaultMaxInFlight      = 16
	defaultTimeout          = 5 * time.Minute
	defaultMinBytesPerToken = 1
)

// Priority is the priority of a service's queue; interactive calls go before batch calls.
type Priority string

// The priorities.
const (
	Interactive Priority = "interactive"
	Batch       Priority = "batch"
)

// Customer is a customer of the revision.
type Customer struct {
	Name   ident.Customer
	Weight int64
}

// Budget is a prepaid budget of the revision.
type Budget struct {
	Name     ident.Budget
	Customer ident.Customer
	Services []ident.Service
	All      bool  // covers every service
	Limit    int64 // tokens
	Version  table.Version
}

// Covers reports whether the budget may pay for a service.
func (b Budget) Covers(s ident.Service) bool {
	return b.All || lo.Contains(b.Services, s)
}

// Service is a service of the revision.
type Service struct {
	Name       ident.Service
	Model      bool
	Repeatable []string // HTTP methods that may run more than once
	Priority   Priority
	Timeout    time.Duration
}

// MayRepeat reports whether a call by the method may run more than once.
func (s Service) MayRepeat(method string) bool { return lo.Contains(s.Repeatable, method) }

// Model is a model of the revision.
type Model struct {
	Name             string
	Service          ident.Service
	MaxOutputTokens  int64
	MinBytesPerToken int64
}

// Endpoint is an endpoint of the revision.
type Endpoint struct {
	Name        ident.Endpoint
	Services    []ident.Service
	Zone        ident.Zone
	URL         string
	MaxInFlight int64
	Weight      int64
	ChecksFence bool
	Leaving     bool
}

// Limit restricts a customer, a service or an endpoint; an empty name matches any.
type Limit struct {
	Name              string
	Customer          ident.Customer
	Service           ident.Service
	Endpoint          ident.Endpoint
	RequestsPerSecond int64 // 0 is no limit, also below
	TokensPerSecond   int64
	MaxInFlight       int64
}

// Weight is the weight of a customer or an endpoint for its share of a service.
type Weight struct {
	Customer ident.Customer
	Service  ident.Service
	Endpoint ident.Endpoint
	Weight   int64
}

// Catalog is an immutable index of one revision.
type Catalog struct {
	Revision           int64
	customersByKey     map[string]Customer // by the hash of the key
	customers          map[ident.Customer]Customer
	budgetsByCustomer  map[ident.Customer][]Budget
	budgets            map[ident.Budget]Budget
	services           map[ident.Service]Service
	models             map[string]Model
	endpointsByService map[ident.Service][]Endpoint
	endpoints          []Endpoint
	limits             []Limit
	weights            []Weight
}

// HashKey returns the hash under which a caller's key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// New builds the index of a table as of a revision.
func New(revision int64, t table.Table) *Catalog {
	c := &Catalog{
		Revision:           revision,
		customersByKey:     map[string]Customer{},
		customers:          map[ident.Customer]Customer{},
		budgetsByCustomer:  map[ident.Customer][]Budget{},
		budgets:            map[ident.Budget]Budget{},
		services:           map[ident.Service]Service{},
		models:             map[string]Model{},
		endpointsByService: map[ident.Service][]Endpoint{},
	}
	for _, r := range t.Rows("") {
		c.index(r)
	}
	for _, s := range c.services {
		c.implyModel(s)
	}
	return c
}

func (c *Catalog) index(r table.Row) {
	switch r.Kind {
	case table.Customer:
		c.indexCustomer(r)
	case table.Budget:
		c.indexBudget(r)
	case table.Service:
		c.indexService(r)
	case table.Model:
		c.models[r.Name] = Model{
			Name: r.Name, Service: ident.Service(r.Cells.Get(table.ColService)),
			MaxOutputTokens:  r.Cells.Int(table.ColMaxOutputTokens, defaultMaxOutput),
			MinBytesPerToken: r.Cells.Int(table.ColMinBytesPerToken, defaultMinBytesPerToken),
		}
	case table.Endpoint:
		c.indexEndpoint(r)
	case table.Limit:
		c.limits = append(c.limits, limitOf(r))
	case table.Weight:
		c.weights = append(c.weights, Weight{
			Customer: ident.Customer(r.Cells.Get(table.ColCustomer)),
			Service:  ident.Service(r.Cells.Get(table.ColService)),
			Endpoint: ident.Endpoint(r.Cells.Get(table.ColEndpoint)),
			Weight:   r.Cells.Int(table.ColWeight, defaultWeight),
		})
	}
}

func (c *Catalog) indexCustomer(r table.Row) {
	customer := Customer{Name: ident.Customer(r.Name), Weight: r.Cells.Int(table.ColWeight, defaultWeight)}
	c.customers[customer.Name] = customer
	for _, hash := range table.SplitList(r.Cells.Get(table.ColKeyHashes)) {
		c.customersByKey[hash] = customer
	}
}

func (c *Catalog) indexBudget(r table.Row) {
	names := table.SplitList(r.Cells.Get(table.ColServices))
	b := Budget{
		Name:     ident.Budget(r.Name),
		Customer: ident.Customer(r.Cells.Get(table.ColCustomer)),
		Services: lo.Map(names, func(s string, _ int) ident.Service { return ident.Service(s) }),
		All:      len(names) == 0 || lo.Contains(names, AllServices),
		Limit:    r.Cells.Int(table.ColLimitTokens, 0),
		Version:  r.Version,
	}
	c.budgetsByCustomer[b.Customer] = append(c.budgetsByCustomer[b.Customer], b)
	c.budgets[b.Name] = b
}

func (c *Catalog) indexService(r table.Row) {
	priority := Priority(r.Cells.Get(table.ColPriority))
	if priority == "" {
		priority = Interactive
	}
	timeout := time.Duration(r.Cells.Int(table.ColTimeoutMs, defaultTimeout.Milliseconds())) * time.Millisecond
	c.services[ident.Service(r.Name)] = Service{
		Name:       ident.Service(r.Name),
		Model:      r.Cells.Get(table.ColType) == "model",
		Repeatable: table.SplitList(r.Cells.Get(table.ColRepeatable)),
		Priority:   priority,
		Timeout:    timeout,
	}
}

// implyModel adds a model under the name of a model service that has no row of kind model,
// so that callers can name it.
func (c *Catalog) implyModel(s Service) {
	_, ok := c.models[string(s.Name)]
	if !s.Model || ok {
		return
	}
	c.models[string(s.Name)] = Model{Name: string(s.Name), Service: s.Name, MaxOutputTokens: defaultMaxOutput, MinBytesPerToken: defaultMinBytesPerToken}
}

func (c *Catalog) indexEndpoint(r table.Row) {
	names := table.SplitList(r.Cells.Get(table.ColServices))
	e := Endpoint{
		Name:        ident.Endpoint(r.Name),
		Services:    lo.Map(names, func(s string, _ int) ident.Service { return ident.Service(s) }),
		Zone:        ident.Zone(r.Cells.Get(table.ColZone)),
		URL:         r.Cells.Get(table.ColURL),
		MaxInFlight: r.Cells.Int(table.ColMaxInFlight, defaultMaxInFlight),
		Weight:      r.Cells.Int(table.ColWeight, defaultWeight),
		ChecksFence: r.Cells.Get(table.ColChecksFence) != "false",
		Leaving:     r.Cells.Get(table.ColState) == "leaving",
	}
	c.endpoints = append(c.endpoints, e)
	for _, s := range e.Services {
		c.endpointsByService[s] = append(c.endpointsByService[s], e)
	}
}

func limitOf(r table.Row) Limit {
	return Limit{
		Name:              r.Name,
		Customer:          ident.Customer(r.Cells.Get(table.ColCustomer)),
		Service:           ident.Service(r.Cells.Get(table.ColService)),
		Endpoint:          ident.Endpoint(r.Cells.Get(table.ColEndpoint)),
		RequestsPerSecond: r.Cells.Int(table.ColRequestsPerSecond, 0),
		TokensPerSecond:   r.Cells.Int(table.ColTokensPerSecond, 0),
		MaxInFlight:       r.Cells.Int(table.ColMaxInFlight, 0),
	}
}

// Customer returns the customer of a key.
func (c *Catalog) Customer(key string) (Customer, bool) {
	customer, ok := c.customersByKey[HashKey(key)]
	return customer, ok
}

// Model returns a model by the name that callers use.
func (c *Catalog) Model(name string) (Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// Models lists the models by name.
func (c *Catalog) Models() []Model {
	models := lo.Values(c.models)
	sort.Slice(models, func(i, j int) bool { return models[i].Name < models[j].Name })
	return models
}

// Service returns a service by name.
func (c *Catalog) Service(name ident.Service) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Budget returns a budget by name.
func (c *Catalog) Budget(name ident.Budget) (Budget, bool) {
	b, ok := c.budgets[name]
	return b, ok
}

// Budgets lists all budgets by name.
func (c *Catalog) Budgets() []Budget {
	budgets := lo.Values(c.budgets)
	sort.Slice(budgets, func(i, j int) bool { return budgets[i].Name < budgets[j].Name })
	return budgets
}

// BudgetsFor lists the budgets that may pay for a customer's call: those that name the service
// first, then those that cover all services.
func (c *Catalog) BudgetsFor(customer ident.Customer, s ident.Service) []Budget {
	fitting := lo.Filter(c.budgetsByCustomer[customer], func(b Budget, _ int) bool { return b.Covers(s) })
	sort.SliceStable(fitting, func(i, j int) bool { return !fitting[i].All && fitting[j].All })
	return fitting
}

// Endpoints lists the endpoints that serve a service.
func (c *Catalog) Endpoints(s ident.Service) []Endpoint { return c.endpointsByService[s] }

// AllEndpoints lists every endpoint.
func (c *Catalog) AllEndpoints() []Endpoint { return c.endpoints }

// Limits lists the limits that apply to a call.
func (c *Catalog) Limits(customer ident.Customer, s ident.Service) []Limit {
	return lo.Filter(c.limits, func(l Limit, _ int) bool {
		return l.Endpoint == "" && (l.Customer == "" || l.Customer == customer) && (l.Service == "" || l.Service == s)
	})
}

// CustomerWeight returns the weight of a customer in a service's queue, at least 1.
func (c *Catalog) CustomerWeight(customer ident.Customer, s ident.Service) int64 {
	for _, w := range c.weights {
		if w.Endpoint == "" && w.Customer == customer && (w.Service == "" || w.Service == s) {
			return max(1, w.Weight)
		}
	}
	return max(1, c.customers[customer].Weight)
}

// EndpointWeight returns the weight of an endpoint for a service; 0 excludes it.
func (c *Catalog) EndpointWeight(e Endpoint, s ident.Service) int64 {
	for _, w := range c.weights {
		if w.Endpoint == e.Name && (w.Service == "" || w.Service == s) {
			return w.Weight
		}
	}
	return e.Weight
}

// Describe summarizes the catalog in one line for logs.
func (c *Catalog) Describe() string {
	return strconv.Itoa(len(c.customers)) + " customers, " + strconv.Itoa(len(c.budgets)) + " budgets, " + strconv.Itoa(len(c.endpoints)) + " endpoints"
}
