package table

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// The first columns of every CSV line, and limits.
const (
	csvKind    = "kind"
	csvName    = "name"
	csvVersion = "version"
	csvFixed   = 3 // columns before the cells
	maxCSVRows = 200_000
)

// WriteCSV writes the rows in the format that ReadCSV reads.
func WriteCSV(w io.Writer, rows []Row) error {
	columns := Columns()
	header := []string{csvKind, csvName, csvVersion}
	header = append(header, lo.Map(columns, func(c Column, _ int) string { return string(c) })...)
	out := csv.NewWriter(w)
	if err := out.Write(header); err != nil {
		return errors.Wrap(err, "write csv header")
	}
	for _, r := range rows {
		line := []string{string(r.Kind), r.Name, strconv.FormatInt(int64(r.Version), 10)}
		line = append(line, lo.Map(columns, func(c Column, _ int) string { return r.Cells[c] })...)
		if err := out.Write(line); err != nil {
			return errors.Wrapf(err, "write csv row %s", r.ID())
		}
	}
	out.Flush()
	return errors.Wrap(out.Error(), "write csv")
}

// ReadCSV reads one edit from each line. Cells whose column is not in the header stay
// unchanged, and an empty cell unsets its value. An empty version creates a row.
func ReadCSV(r io.Reader) ([]Edit, error) {
	in := csv.NewReader(r)
	in.TrimLeadingSpace = true
	header, err := in.Read()
	if err != nil {
		return nil, errors.Wrap(err, "csv header")
	}
	if err := checkHeader(header); err != nil {
		return nil, err
	}
	var edits []Edit
	for {
		line, err := in.Read()
		if errors.Is(err, io.EOF) {
			return edits, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "csv")
		}
		e, err := readLine(header, line)
		if err != nil {
			at, _ := in.FieldPos(0)
			return nil, errors.Wrapf(err, "csv line %d", at)
		}
		if len(edits) >= maxCSVRows {
			return nil, errors.Newf("csv: more than %d rows", maxCSVRows)
		}
		edits = append(edits, e)
	}
}

func checkHeader(header []string) error {
	want := []string{csvKind, csvName, csvVersion}
	if len(header) < csvFixed || strings.Join(header[:csvFixed], ",") != strings.Join(want, ",") {
		return errors.Newf("csv line 1: the header starts with %s", strings.Join(want, ","))
	}
	if duplicates := lo.FindDuplicates(header); len(duplicates) > 0 {
		return errors.Newf("csv line 1: column %q stands twice", duplicates[0])
	}
	for _, name := range header[csvFixed:] {
		if !lo.Contains(Columns(), Column(name)) {
			return errors.Newf("csv line 1: no such column %q", name)
		}
	}
	return nil
}

func readLine(header, line []string) (Edit, error) {
	e := Edit{Kind: Kind(line[0]), Name: line[1], Cells: Cells{}}
	if line[2] != "" {
		v, err := strconv.ParseInt(line[2], 10, 64)
		if err != nil || v < 0 {
			return Edit{}, errors.Newf("version %q: want a whole number", line[2])
		}
		e.Version = Version(v)
	}
	if _, ok := schema[e.Kind]; !ok {
		return Edit{}, errors.Newf("kind %q: want one of %v", line[0], Kinds())
	}
	for i, name := range header[csvFixed:] {
		value := line[csvFixed+i]
		if _, ok := columnOf(e.Kind, Column(name)); ok {
			e.Cells[Column(name)] = value
		} else if value != "" {
			return Edit{}, errors.New(fmt.Sprintf("a %s has no cell %q", e.Kind, name))
		}
	}
	return e, nil
}
