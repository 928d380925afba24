// Package command implements the command line of lynxctl, the operators' tool. The work itself is done by
// the packages that it calls.
package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/lynxshed/lynxshed/ctl/client"
	"github.com/lynxshed/lynxshed/fleet/version"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// keyVariable is the environment variable that holds the operator's key.
const keyVariable = "LYNXSHED_KEY"

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// ErrUsage marks errors in the arguments of the command line.
var ErrUsage = errors.New("usage")

func usage(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrUsage)
}

// maxCells is the maximum number of cells in one call of "table set".
const maxCells = 32

// flags holds the values of all flags and positional arguments.
type flags struct {
	nodes  []string
	key    string
	output string

	deployment string
	nodeCount  int
	demoTime   time.Duration
	addrFile   string
	listen     string

	kind     string
	version  int64
	argument string
	cells    [maxCells]string
	budget   string
	load     loadFlags
	slice    time.Duration
	logs     []string
}

// verb is a subcommand and the function that runs it.
type verb struct {
	command *flaggy.Subcommand
	run     func(*app) error
}

// app is one invocation of the command line.
type app struct {
	flags flags
	out   io.Writer
}

// Run parses the arguments, runs the selected verb and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	a := &app{out: out}
	parser := flaggy.NewParser("lynxctl")
	parser.Description = "the operators' tool of the lynxshed router fleet"
	parser.Version = version.Number
	parser.ShowVersionWithVersionFlag = false // "table set" has its own --version flag
	parser.StringSlice(&a.flags.nodes, "n", "node", "URL of a node; may be given more than once")
	parser.String(&a.flags.key, "k", "key", "operator's key, or "+keyVariable)
	a.flags.output = formatTable
	parser.String(&a.flags.output, "o", "output", "table or json")
	verbs := a.verbs(parser)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "lynxctl: "+err.Error())
		return ExitUsage
	}
	for _, v := range verbs {
		if v.command.Used {
			return exitCode(v.run(a), errOut)
		}
	}
	fmt.Fprintln(errOut, "lynxctl: want a verb; see lynxctl --help")
	return ExitUsage
}

func exitCode(err error, errOut io.Writer) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		fmt.Fprintln(errOut, "lynxctl: "+err.Error())
		return ExitUsage
	default:
		fmt.Fprintln(errOut, "lynxctl: "+err.Error())
		return ExitFailed
	}
}

func (a *app) verbs(parser *flaggy.Parser) []verb {
	demo := flaggy.NewSubcommand("demo")
	demo.Description = "run a whole small deployment in this process"
	a.flags.deployment = "sofia"
	demo.String(&a.flags.deployment, "d", "deployment", "sofia or chile")
	demo.Int(&a.flags.nodeCount, "", "nodes", "number of nodes")
	demo.Duration(&a.flags.demoTime, "", "for", "end after this time")
	demo.String(&a.flags.addrFile, "", "addr-file", "file for the addresses, written once all is ready")
	status := flaggy.NewSubcommand("status")
	status.Description = "nodes, endpoints, revisions, what is degraded and why"
	bills := flaggy.NewSubcommand("bills")
	bills.Description = "one line for each billed request"
	bills.String(&a.flags.budget, "b", "budget", "of this budget only")
	explain := flaggy.NewSubcommand("explain")
	explain.Description = "each decision taken for a request"
	explain.AddPositionalValue(&a.flags.argument, "request-id", 1, true, "the request's id")
	drain := flaggy.NewSubcommand("drain")
	drain.Description = "planned stop of a node"
	drain.AddPositionalValue(&a.flags.argument, "node-name", 1, true, "the node's name")
	load := a.loadCommand()
	capacity := flaggy.NewSubcommand("capacity")
	capacity.Description = "measure every slope of docs/CAPACITY.md and print its tables anew"
	standin := flaggy.NewSubcommand("standin")
	standin.Description = "run one stand-in as a process of its own: platform, engine or application"
	standin.AddPositionalValue(&a.flags.argument, "kind", 1, true, "platform, engine or application")
	a.flags.listen = "127.0.0.1:0"
	standin.String(&a.flags.listen, "", "listen", "address and port")
	verbs := []verb{{capacity, (*app).capacity}, {standin, (*app).standin}, {demo, (*app).demo}, {status, (*app).status}, {bills, (*app).bills}, {explain, (*app).explain}, {drain, (*app).drain}, {load, (*app).load}, {a.storyCommand(), (*app).story}, {a.lossesCommand(), (*app).losses}, {a.spendingCommand(), (*app).spending}, {a.placementsCommand(), (*app).placements}, {a.rolloutsCommand(), (*app).rollouts}, {a.limitsCommand(), (*app).limits}, {a.noticesCommand(), (*app).notices}, {a.memoryCommand(), (*app).memory}, {a.nodesCommand(), (*app).nodes}}
	for _, v := range verbs {
		parser.AttachSubcommand(v.command, 1)
	}
	verbs = append(verbs, a.budgetVerbs(parser)...)
	verbs = append(verbs, a.quarantineVerbs(parser)...)
	return append(verbs, a.tableVerbs(parser)...)
}

func (a *app) budgetVerbs(parser *flaggy.Parser) []verb {
	budget := flaggy.NewSubcommand("budget")
	budget.Description = "limit, spent, reserved, available, stranded, and who holds what"
	parser.AttachSubcommand(budget, 1)
	list := flaggy.NewSubcommand("list")
	show := flaggy.NewSubcommand("show")
	show.AddPositionalValue(&a.flags.argument, "name", 1, true, "the budget's name")
	budget.AttachSubcommand(list, 1)
	budget.AttachSubcommand(show, 1)
	return []verb{{list, (*app).budgetList}, {show, (*app).budgetShow}}
}

func (a *app) client() (*client.Client, error) {
	key := a.flags.key
	if key == "" {
		key = os.Getenv(keyVariable)
	}
	if len(a.flags.nodes) == 0 {
		return nil, usage("want --node URL")
	}
	if key == "" {
		return nil, usage("want --key KEY or %s", keyVariable)
	}
	if a.flags.output != formatTable && a.flags.output != formatJSON {
		return nil, usage("output %q: want table or json", a.flags.output)
	}
	return client.New(a.flags.nodes, key), nil
}

// print writes v as JSON, or the header and lines as an aligned table.
func (a *app) print(v any, header []string, lines [][]string) error {
	if a.flags.output == formatJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(v), "print")
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	writeLine(w, header)
	for _, line := range lines {
		writeLine(w, line)
	}
	return errors.Wrap(w.Flush(), "print")
}

func writeLine(w io.Writer, cells []string) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
