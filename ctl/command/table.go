package command

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/config"
	"github.com/lynxshed/lynxshed/fleet/problem"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// latestVersion is the default of --version: the edit is based on the current version of the row.
const latestVersion = -1

func (a *app) tableVerbs(parser *flaggy.Parser) []verb {
	top := flaggy.NewSubcommand("table")
	top.Description = "the rows that operators edit"
	parser.AttachSubcommand(top, 1)
	a.flags.version = latestVersion
	list := flaggy.NewSubcommand("list")
	list.String(&a.flags.kind, "", "kind", "rows of this kind only")
	get := flaggy.NewSubcommand("get")
	get.AddPositionalValue(&a.flags.argument, "row", 1, true, "KIND/NAME")
	set := flaggy.NewSubcommand("set")
	set.Description = "change cells of a row, or create it: table set KIND/NAME CELL=VALUE ..."
	set.AddPositionalValue(&a.flags.argument, "row", 1, true, "KIND/NAME")
	for i := range a.flags.cells {
		set.AddPositionalValue(&a.flags.cells[i], "cell", i+2, false, "CELL=VALUE")
	}
	remove := flaggy.NewSubcommand("delete")
	remove.AddPositionalValue(&a.flags.argument, "row", 1, true, "KIND/NAME")
	for _, c := range []*flaggy.Subcommand{set, remove} {
		c.Int64(&a.flags.version, "", "version", "the version that the edit was made from; the row's of now when left out")
	}
	apply := flaggy.NewSubcommand("apply")
	apply.AddPositionalValue(&a.flags.argument, "file", 1, true, "CSV file, all rows or none")
	export := flaggy.NewSubcommand("export")
	export.String(&a.flags.kind, "", "kind", "rows of this kind only")
	history := flaggy.NewSubcommand("history")
	verbs := []verb{
		{list, (*app).tableList}, {get, (*app).tableGet}, {set, (*app).tableSet}, {remove, (*app).tableDelete},
		{apply, (*app).tableApply}, {export, (*app).tableExport}, {history, (*app).tableHistory},
	}
	for _, v := range verbs {
		top.AttachSubcommand(v.command, 1)
	}
	return verbs
}

func cellsText(c table.Cells) string {
	return strings.Join(lo.Map(c.Columns(), func(name table.Column, _ int) string {
		return string(name) + "=" + c[name]
	}), " ")
}

func rowLine(r table.Row) []string {
	return []string{string(r.Kind), r.Name, strconv.FormatInt(int64(r.Version), 10), cellsText(r.Cells)}
}

var rowHeader = []string{"KIND", "NAME", "VERSION", "CELLS"}

func (a *app) tableList() error {
	c, err := a.client()
	if err != nil {
		return err
	}
	rows, err := c.Rows(context.Background(), a.flags.kind)
	if err != nil {
		return err
	}
	return a.print(rows, rowHeader, lo.Map(rows, func(r table.Row, _ int) []string { return rowLine(r) }))
}

func (a *app) tableGet() error {
	c, err := a.client()
	if err != nil {
		return err
	}
	id, err := table.ParseID(a.flags.argument)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	row, err := c.Row(context.Background(), id)
	if err != nil {
		return err
	}
	return a.print(row, rowHeader, [][]string{rowLine(row)})
}

// baseVersion returns the version that an edit is based on: that of --version, or the current version of
// the row, which is 0 if the row does not exist.
func (a *app) baseVersion(id table.ID) (table.Version, error) {
	if a.flags.version != latestVersion {
		return table.Version(a.flags.version), nil
	}
	c, err := a.client()
	if err != nil {
		return 0, err
	}
	row, err := c.Row(context.Background(), id)
	var p *problem.Problem
	if errors.As(err, &p) && p.Reason == problem.NotFound {
		return 0, nil
	}
	return row.Version, err
}

func (a *app) tableSet() error {
	id, err := table.ParseID(a.flags.argument)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	cells := table.Cells{}
	for _, text := range a.flags.cells {
		if text == "" {
			continue
		}
		name, value, ok := strings.Cut(text, "=")
		if !ok {
			return usage("cell %q: want CELL=VALUE", text)
		}
		cells[table.Column(name)] = value
	}
	version, err := a.baseVersion(id)
	if err != nil {
		return err
	}
	return a.edit([]table.Edit{{Kind: id.Kind, Name: id.Name, Version: version, Cells: cells}})
}

func (a *app) tableDelete() error {
	id, err := table.ParseID(a.flags.argument)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	version, err := a.baseVersion(id)
	if err != nil {
		return err
	}
	return a.edit([]table.Edit{{Kind: id.Kind, Name: id.Name, Version: version, Delete: true}})
}

func (a *app) tableApply() error {
	file, err := os.Open(a.flags.argument)
	if err != nil {
		return errors.Wrap(err, "open csv")
	}
	defer file.Close()
	edits, err := table.ReadCSV(file)
	if err != nil {
		return err
	}
	return a.edit(edits)
}

func (a *app) edit(edits []table.Edit) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	accepted, err := c.Edit(context.Background(), ulid.Make().String(), os.Getenv("USER"), edits)
	if err != nil {
		return err
	}
	return a.print(accepted, []string{"REVISION"}, [][]string{{strconv.FormatInt(accepted.Revision, 10)}})
}

func (a *app) tableExport() error {
	c, err := a.client()
	if err != nil {
		return err
	}
	rows, err := c.Rows(context.Background(), a.flags.kind)
	if err != nil {
		return err
	}
	if a.flags.output == formatJSON {
		return a.print(rows, nil, nil)
	}
	return table.WriteCSV(a.out, rows)
}

func (a *app) tableHistory() error {
	c, err := a.client()
	if err != nil {
		return err
	}
	history, err := c.History(context.Background())
	if err != nil {
		return err
	}
	lines := lo.Map(history, func(h config.Change, _ int) []string {
		rows := lo.Map(h.Edits, func(e table.Edit, _ int) string { return e.ID().String() })
		return []string{fmt.Sprint(h.Revision), h.At.Format(timeFormat), h.Operator, strings.Join(rows, " ")}
	})
	return a.print(history, []string{"REVISION", "AT", "OPERATOR", "ROWS"}, lines)
}

const timeFormat = "2006-01-02 15:04:05.000"
