package problem

import (
	"net/http"
	"sort"
)

// Reason is a stable identifier for why a request or an edit was refused.
type Reason string

// The reasons; docs/refusals.md lists them for callers.
const (
	BadKey              Reason = "bad-key"
	BadBody             Reason = "bad-body"
	BadHeader           Reason = "bad-header"
	TooLarge            Reason = "too-large"
	BodyTimeout         Reason = "body-timeout"
	NoMemory            Reason = "no-memory"
	UnknownModel        Reason = "unknown-model"
	UnknownService      Reason = "unknown-service"
	UnknownRequest      Reason = "unknown-request"
	UnknownBudget       Reason = "unknown-budget"
	BudgetExhausted     Reason = "budget-exhausted"
	LimitReached        Reason = "limit-reached"
	Overloaded          Reason = "overloaded"
	DeadlinePassed      Reason = "deadline-passed"
	NoEndpoint          Reason = "no-endpoint"
	NoHolder            Reason = "no-holder"
	Draining            Reason = "draining"
	NotConfigured       Reason = "not-configured"
	KeyReused           Reason = "key-reused"
	KeyUnreachable      Reason = "key-unreachable"
	KeyInterrupted      Reason = "key-interrupted"
	EndpointFailed      Reason = "endpoint-failed"
	EndpointRefused     Reason = "endpoint-refused"
	Cancelled           Reason = "cancelled"
	StreamBroken        Reason = "stream-broken"
	EditConflict        Reason = "edit-conflict"
	EditInvalid         Reason = "edit-invalid"
	EditBelowSpent      Reason = "edit-below-spent"
	PlatformUnreachable Reason = "platform-unreachable"
	NotFound            Reason = "not-found"
	MethodNotAllowed    Reason = "method-not-allowed"
	Internal            Reason = "internal"
)

// Description holds what a caller receives for a reason.
type Description struct {
	Status            int
	Title             string
	RetryAfterSeconds int
}

var descriptions = map[Reason]Description{
	BadKey:              {http.StatusUnauthorized, "the key is missing or names no customer", 0},
	BadBody:             {http.StatusBadRequest, "the body can't be read", 0},
	BadHeader:           {http.StatusBadRequest, "a header can't be read", 0},
	TooLarge:            {http.StatusRequestEntityTooLarge, "the body is too large", 0},
	BodyTimeout:         {http.StatusRequestTimeout, "the body did not come in time", 0},
	NoMemory:            {http.StatusServiceUnavailable, "the node has no memory for the call", 1},
	UnknownModel:        {http.StatusNotFound, "no such model", 0},
	UnknownService:      {http.StatusNotFound, "no such service", 0},
	UnknownRequest:      {http.StatusNotFound, "no such request", 0},
	UnknownBudget:       {http.StatusPaymentRequired, "no budget of this customer covers the service", 0},
	BudgetExhausted:     {http.StatusPaymentRequired, "the budget can't cover the request's worst case", 0},
	LimitReached:        {http.StatusTooManyRequests, "a limit is reached", 1},
	Overloaded:          {http.StatusServiceUnavailable, "the endpoints are busy", 1},
	DeadlinePassed:      {http.StatusServiceUnavailable, "the deadline would pass before the request could run", 1},
	NoEndpoint:          {http.StatusServiceUnavailable, "no endpoint can run the request", 1},
	NoHolder:            {http.StatusServiceUnavailable, "the slot's holder can't be reached", 1},
	Draining:            {http.StatusServiceUnavailable, "the node is stopping", 1},
	NotConfigured:       {http.StatusServiceUnavailable, "the node has no configuration yet", 1},
	KeyReused:           {http.StatusUnprocessableEntity, "the idempotency key was used with another body", 0},
	KeyUnreachable:      {http.StatusServiceUnavailable, "an earlier try may sit in a zone that is cut off", 5},
	KeyInterrupted:      {http.StatusServiceUnavailable, "the first try was cut off and its outcome is not known", 1},
	EndpointFailed:      {http.StatusBadGateway, "the endpoint failed", 1},
	EndpointRefused:     {http.StatusBadGateway, "the endpoint refused the request", 0},
	Cancelled:           {http.StatusConflict, "the request was cancelled", 0},
	StreamBroken:        {http.StatusBadGateway, "the answer broke off and could not be resumed", 1},
	EditConflict:        {http.StatusConflict, "the row has changed since the edit was made", 0},
	EditInvalid:         {http.StatusUnprocessableEntity, "the edit breaks a rule of the table", 0},
	EditBelowSpent:      {http.StatusConflict, "the limit would be below what is spent or committed", 0},
	PlatformUnreachable: {http.StatusServiceUnavailable, "the platform can't be reached", 2},
	NotFound:            {http.StatusNotFound, "no such resource", 0},
	MethodNotAllowed:    {http.StatusMethodNotAllowed, "the method is not allowed here", 0},
	Internal:            {http.StatusInternalServerError, "a fault of the node's own", 1},
}

// Describe returns the description of a reason; an unknown reason is described as internal.
func Describe(r Reason) Description {
	if d, ok := descriptions[r]; ok {
		return d
	}
	return descriptions[Internal]
}

// Reasons lists every reason in order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(descriptions))
	for r := range descriptions {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
