package command

import (
	"encoding/json"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/ctl/logs"
)

func (a *app) storyCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("story")
	c.Description = "what happened to one call, from the logs of relaying nodes"
	c.AddPositionalValue(&a.flags.argument, "request-id", 1, true, "the call's id")
	a.addLogFlags(c)
	return c
}

func (a *app) story() error {
	lines, err := a.readLogs()
	if err != nil {
		return err
	}
	selected := logs.CallLines(lines, a.flags.argument)
	if len(selected) == 0 {
		return errors.Newf("no line tells of call %s", a.flags.argument)
	}
	cells := make([][]string, 0, len(selected))
	for _, l := range selected {
		cells = append(cells, []string{l.Time.Format(time.RFC3339Nano), l.Node(), l.Message, otherFields(l)})
	}
	return a.print(selected, []string{"AT", "NODE", "WHAT", "WITH"}, cells)
}

func (a *app) lossesCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("losses")
	c.Description = "which calls were not served, when and why, from the logs of relaying nodes"
	a.addSummaryFlags(c)
	return c
}

// defaultSlice is short enough to separate consecutive faults in the logs of a day.
const defaultSlice = 4 * time.Second

func (a *app) losses() error {
	lines, err := a.readSlicedLogs()
	if err != nil {
		return err
	}
	losses := logs.SummarizeLosses(lines, a.flags.slice)
	cells := make([][]string, 0, len(losses))
	for _, l := range losses {
		cells = append(cells, []string{l.From.Format(time.RFC3339), l.Route, l.Reason, strconv.Itoa(l.Calls), strconv.Itoa(l.Total), l.Example})
	}
	return a.print(losses, []string{"FROM", "ROUTE", "REASON", "CALLS", "OF", "EXAMPLE"}, cells)
}

func (a *app) spendingCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("spending")
	c.Description = "what became of each customer's budget, from the logs of relaying nodes"
	a.addSummaryFlags(c)
	return c
}

// addLogFlags adds the flag of the verbs that read logs.
func (a *app) addLogFlags(c *flaggy.Subcommand) {
	c.StringSlice(&a.flags.logs, "f", "file", "a log file; may be given more than once; standard input where none is")
}

// addSummaryFlags adds the flags of the verbs that summarize logs by time window.
func (a *app) addSummaryFlags(c *flaggy.Subcommand) {
	a.addLogFlags(c)
	a.flags.slice = defaultSlice
	c.Duration(&a.flags.slice, "", "slice", "length of the slices of time that are summed up")
}

func (a *app) spending() error {
	lines, err := a.readSlicedLogs()
	if err != nil {
		return err
	}
	rows := logs.SummarizeSpending(lines, a.flags.slice)
	cells := make([][]string, 0, len(rows))
	for _, s := range rows {
		row := []string{lo.Ternary(s.From.IsZero(), "all", s.From.Format(time.RFC3339)), s.Customer}
		for _, n := range []int64{s.Prepaid, s.Requested, s.Refused, int64(s.RefusedCalls), s.Spent, s.Drawn, s.Lost, s.PoolRemaining} {
			row = append(row, strconv.FormatInt(n, 10))
		}
		cells = append(cells, row)
	}
	return a.print(rows, []string{"FROM", "CUSTOMER", "PREPAID", "ASKED", "REFUSED", "CALLS", "SPENT", "DRAWN", "LOST", "POOL"}, cells)
}

func (a *app) placementsCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("placements")
	c.Description = "first events as expected and as met, by node and route, from the logs of relaying nodes"
	a.addLogFlags(c)
	return c
}

func (a *app) placements() error {
	lines, err := a.readLogs()
	if err != nil {
		return err
	}
	placements := logs.SummarizePlacements(lines)
	cells := make([][]string, 0, len(placements))
	for _, p := range placements {
		row := []string{p.Node, p.Route}
		for _, n := range []int64{int64(p.Streams), p.Expected, p.Observed, p.LateP90} {
			row = append(row, strconv.FormatInt(n, 10))
		}
		cells = append(cells, append(row, strconv.FormatFloat(p.Fetched, 'f', 2, 64)))
	}
	return a.print(placements, []string{"NODE", "ROUTE", "STREAMS", "EXPECTED-MS", "MET-MS", "LATER-MS", "FETCHED"}, cells)
}

// otherFields returns the fields of a line without its node, request and source, as JSON members.
func otherFields(l logs.Line) string {
	fields := map[string]any{}
	for name, value := range l.Fields {
		if name != "node" && name != "request" && name != "source" {
			fields[name] = value
		}
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return err.Error()
	}
	return strings.Trim(string(data), "{}")
}

// readSlicedLogs checks the slice flag and reads the logs.
func (a *app) readSlicedLogs() ([]logs.Line, error) {
	if a.flags.slice <= 0 {
		return nil, usage("slice %s: want a time above 0", a.flags.slice)
	}
	return a.readLogs()
}

func (a *app) readLogs() ([]logs.Line, error) {
	if len(a.flags.logs) == 0 {
		return logs.Read(os.Stdin)
	}
	var all []logs.Line
	for _, path := range a.flags.logs {
		lines, err := readLog(path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(path string) ([]logs.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer file.Close()
	return logs.Read(io.Reader(file))
}
