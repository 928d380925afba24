// Package ident defines the names and ids that the packages of the fleet share.
package ident

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Node is the name of one VM of the fleet.
type Node string

// Zone is the name of an availability zone.
type Zone string

// Customer is the name of a customer's row.
type Customer string

// Budget is the name of a budget's row.
type Budget string

// Service is the name of a service's row.
type Service string

// Endpoint is the name of an endpoint's row.
type Endpoint string

// Incarnation is one start of a node: its name and a serial that increases with each start.
type Incarnation string

// Request is a request's id: zone, slot and a unique part.
type Request string

// Slot is a share of the customers, which has one holder in each zone.
type Slot int

// NewIncarnation returns the id of one start of a node. The serial must be unique for each
// start and sort by age.
func NewIncarnation(n Node, serial string) Incarnation {
	return Incarnation(string(n) + "@" + serial)
}

// Node returns the node of the incarnation.
func (i Incarnation) Node() Node {
	name, _, _ := strings.Cut(string(i), "@")
	return Node(name)
}

// Serial returns the serial, which increases with each start.
func (i Incarnation) Serial() string {
	_, serial, _ := strings.Cut(string(i), "@")
	return serial
}

// NewRequest returns the id of a request of a slot that entered in a zone.
func NewRequest(z Zone, s Slot, unique string) Request {
	return Request(fmt.Sprintf("%s.%d.%s", z, s, unique))
}

// Parse splits a request's id into its zone and slot.
func (r Request) Parse() (Zone, Slot, error) {
	parts := strings.Split(string(r), ".")
	if len(parts) != 3 {
		return "", 0, errors.Newf("request id %q: want zone.slot.unique", string(r))
	}
	slot, err := strconv.Atoi(parts[1])
	if err != nil || slot < 0 {
		return "", 0, errors.Newf("request id %q: slot %q is not a number", string(r), parts[1])
	}
	return Zone(parts[0]), Slot(slot), nil
}

// SlotOf returns the slot of a customer among count slots.
func SlotOf(c Customer, count int) Slot {
	return Slot(xxhash.Sum64String(string(c)) % uint64(count))
}
