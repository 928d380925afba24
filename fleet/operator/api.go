package operator

import (
	"context"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/config"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/platform"
	"github.com/lynxshed/lynxshed/fleet/problem"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// Prefix is the path prefix of the operators' resources.
const Prefix = "/operator"

// API serves the operators' resources; Register adds them to a huma API.
type API struct {
	hashes  map[string]bool // hashes of the operators' keys
	desk    *Desk
	inForce *config.InForce
	editor  *config.Editor
	advance func(config.Snapshot)
}

// NewAPI creates the operators' API. It calls advance with the snapshot of an accepted edit,
// so that this node puts it in force at once.
func NewAPI(hashes []string, desk *Desk, inForce *config.InForce, editor *config.Editor, advance func(config.Snapshot)) *API {
	known := lo.SliceToMap(hashes, func(h string) (string, bool) { return h, true })
	return &API{hashes: known, desk: desk, inForce: inForce, editor: editor, advance: advance}
}

// Middleware requires an operator's key on every path under Prefix.
func (a *API) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, Prefix) {
			next.ServeHTTP(w, r)
			return
		}
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !a.hashes[catalog.HashKey(key)] {
			problem.New(problem.BadKey, "this resource asks for an operator's key").Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

type output[T any] struct{ Body T }

type tableInput struct {
	Kind string `query:"kind"`
}

type rowInput struct {
	Kind string `path:"kind"`
	Name string `path:"name"`
}

// EditsBody is a set of edits, of which all are accepted or none.
type EditsBody struct {
	ID       string     `json:"id" doc:"names the change, so that a retry of it changes nothing" minLength:"8" maxLength:"64"`
	Operator string     `json:"operator,omitempty"`
	Edits    []EditBody `json:"edits" minItems:"1" maxItems:"200000"`
}

// EditBody is the wire form of one edit.
type EditBody struct {
	Kind    table.Kind    `json:"kind"`
	Name    string        `json:"name"`
	Version table.Version `json:"version,omitempty" doc:"the version that the edit was made from; 0 creates the row"`
	Cells   CellsBody     `json:"cells,omitempty"`
	Delete  bool          `json:"delete,omitempty"`
}

// CellsBody is the wire form of cells: text, numbers, booleans or lists of text.
type CellsBody struct{ table.Cells }

// Schema implements huma.SchemaProvider.
func (CellsBody) Schema(huma.Registry) *huma.Schema {
	return &huma.Schema{Type: huma.TypeObject, AdditionalProperties: true}
}

// NewEditsBody returns the wire form of a set of edits.
func NewEditsBody(id, operator string, edits []table.Edit) EditsBody {
	return EditsBody{ID: id, Operator: operator, Edits: lo.Map(edits, func(e table.Edit, _ int) EditBody {
		return EditBody{Kind: e.Kind, Name: e.Name, Version: e.Version, Cells: CellsBody{Cells: e.Cells}, Delete: e.Delete}
	})}
}

func (b EditsBody) edits() []table.Edit {
	return lo.Map(b.Edits, func(e EditBody, _ int) table.Edit {
		return table.Edit{Kind: e.Kind, Name: e.Name, Version: e.Version, Cells: e.Cells.Cells, Delete: e.Delete}
	})
}

type editsInput struct{ Body EditsBody }

// Accepted answers accepted edits with the revision that they produced.
type Accepted struct {
	Revision int64 `json:"revision"`
}

type nameInput struct {
	Name string `path:"name"`
}

type billsInput struct {
	Budget string `query:"budget"`
}

type explainInput struct {
	ID string `path:"id"`
}

// Register adds the operators' resources to a huma API.
func (a *API) Register(api huma.API) {
	huma.Get(api, Prefix+"/table", a.list)
	huma.Get(api, Prefix+"/table/{kind}/{name}", a.row)
	huma.Post(api, Prefix+"/table/edits", a.edit)
	huma.Get(api, Prefix+"/history", a.history)
	huma.Get(api, Prefix+"/status", a.status)
	huma.Get(api, Prefix+"/budgets", a.budgets)
	huma.Get(api, Prefix+"/budgets/{name}", a.budget)
	huma.Get(api, Prefix+"/bills", a.bills)
	huma.Get(api, Prefix+"/explain/{id}", a.explain)
	huma.Post(api, Prefix+"/drain/{name}", a.drain)
}

func (a *API) list(_ context.Context, in *tableInput) (*output[[]table.Row], error) {
	if in.Kind != "" {
		if _, err := table.ParseKind(in.Kind); err != nil {
			return nil, refusal(problem.New(problem.EditInvalid, err.Error()))
		}
	}
	rows := a.inForce.Snapshot().Table.Rows(table.Kind(in.Kind))
	return &output[[]table.Row]{Body: lo.Ternary(rows == nil, []table.Row{}, rows)}, nil
}

func (a *API) row(_ context.Context, in *rowInput) (*output[table.Row], error) {
	row, ok := a.inForce.Snapshot().Table.Get(table.ID{Kind: table.Kind(in.Kind), Name: in.Name})
	if !ok {
		return nil, refusal(problem.New(problem.NotFound, "there is no row "+in.Kind+"/"+in.Name))
	}
	return &output[table.Row]{Body: row}, nil
}

func (a *API) edit(ctx context.Context, in *editsInput) (*output[Accepted], error) {
	snapshot, err := a.editor.Accept(ctx, in.Body.ID, in.Body.Operator, in.Body.edits())
	if err != nil {
		return nil, refusal(editProblem(err))
	}
	a.advance(snapshot)
	return &output[Accepted]{Body: Accepted{Revision: snapshot.Head.Revision}}, nil
}

// editProblem returns the problem for an edit that was not accepted.
func editProblem(err error) *problem.Problem {
	var faults table.Faults
	switch {
	case !errors.As(err, &faults):
		outcome := problem.NotRun
		if errors.Is(err, platform.ErrUnknown) {
			outcome = problem.Unknown
		}
		return problem.New(problem.PlatformUnreachable, err.Error()).WithOutcome(outcome).At("edit", "platform")
	case faults.Conflict():
		return problem.New(problem.EditConflict, faults.Error()).At("edit", faults[0].Row.String())
	case strings.Contains(faults[0].Rule, "spent or committed"):
		return problem.New(problem.EditBelowSpent, faults.Error()).At("edit", faults[0].Row.String())
	default:
		return problem.New(problem.EditInvalid, faults.Error()).At("edit", faults[0].Row.String())
	}
}

func (a *API) history(context.Context, *struct{}) (*output[[]config.Change], error) {
	return &output[[]config.Change]{Body: append([]config.Change{}, a.inForce.Snapshot().Head.History...)}, nil
}

func (a *API) status(ctx context.Context, _ *struct{}) (*output[Status], error) {
	return &output[Status]{Body: a.desk.Status(ctx)}, nil
}

func (a *API) budgets(ctx context.Context, _ *struct{}) (*output[[]BudgetStatus], error) {
	return &output[[]BudgetStatus]{Body: a.desk.Budgets(ctx, a.inForce.Catalog().Budgets())}, nil
}

func (a *API) budget(ctx context.Context, in *nameInput) (*output[BudgetStatus], error) {
	b, ok := a.inForce.Catalog().Budget(ident.Budget(in.Name))
	if !ok {
		return nil, refusal(problem.New(problem.NotFound, "there is no budget "+in.Name))
	}
	return &output[BudgetStatus]{Body: a.desk.Budgets(ctx, []catalog.Budget{b})[0]}, nil
}

func (a *API) bills(ctx context.Context, in *billsInput) (*output[[]bill.Bill], error) {
	bills, err := a.desk.Bills(ctx, ident.Budget(in.Budget))
	if err != nil {
		return nil, refusal(problem.New(problem.PlatformUnreachable, err.Error()).At("bills", "platform"))
	}
	return &output[[]bill.Bill]{Body: bills}, nil
}

func (a *API) explain(ctx context.Context, in *explainInput) (*output[Explanation], error) {
	return &output[Explanation]{Body: a.desk.Explain(ctx, ident.Request(in.ID))}, nil
}

func (a *API) drain(ctx context.Context, in *nameInput) (*output[NodeStatus], error) {
	status, err := a.desk.Drain(ctx, ident.Node(in.Name))
	if err != nil {
		return nil, refusal(problem.New(problem.NotFound, err.Error()).At("drain", in.Name))
	}
	return &output[NodeStatus]{Body: status}, nil
}

// statusError lets huma answer with a problem. It has a problem's fields instead of embedding
// it: huma can't link a schema to a type that embeds a type with methods, and warns about each
// such answer at the start.
type statusError problem.Problem

// Error implements error.
func (s statusError) Error() string { return (*problem.Problem)(&s).Error() }

// GetStatus implements huma.StatusError.
func (s statusError) GetStatus() int { return s.Status }

// ContentType implements huma.ContentTypeFilter.
func (s statusError) ContentType(string) string { return problem.ContentType }

// newError returns an error that huma itself finds in a request as a problem.
func newError(status int, message string, errs ...error) huma.StatusError {
	details := lo.FilterMap(errs, func(err error, _ int) (string, bool) {
		if err == nil {
			return "", false
		}
		return err.Error(), true
	})
	reason := problem.BadBody
	if status >= http.StatusInternalServerError {
		reason = problem.Internal
	}
	p := problem.New(reason, strings.Join(append([]string{message}, details...), "; "))
	p.Status = status
	return statusError(*p)
}

func init() { huma.NewError = newError }

// refusal returns a problem as an error for huma.
func refusal(p *problem.Problem) error { return statusError(*p) }
