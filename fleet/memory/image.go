package memory

import (
	"bufio"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const mapsFile = "/proc/self/maps"

// imageBytes returns the size of the program's file, and of others, as far as they are mapped into this
// process. Their pages count towards its memory, and the garbage collector's limit does not include them.
func imageBytes() (int64, error) {
	maps, err := os.Open(mapsFile)
	if err != nil {
		return 0, errors.Wrap(err, "step size of the program")
	}
	defer maps.Close()
	return sumMapped(maps)
}

// sumMapped adds up the mappings of files in the format of /proc/PID/maps.
func sumMapped(maps io.Reader) (int64, error) {
	sum := int64(0)
	lines := bufio.NewScanner(maps)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 6 || !strings.HasPrefix(fields[5], "/") {
			continue
		}
		size, err := rangeSize(fields[0])
		if err != nil {
			return 0, err
		}
		sum += size
	}
	if err := lines.Err(); err != nil {
		return 0, errors.Wrap(err, "step size of the program")
	}
	return sum, nil
}

// rangeSize returns the size of a range of addresses such as "400000-452000".
func rangeSize(text string) (int64, error) {
	from, to, _ := strings.Cut(text, "-")
	first, err := strconv.ParseInt(from, 16, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "step size of the program, range %q", text)
	}
	end, err := strconv.ParseInt(to, 16, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "step size of the program, range %q", text)
	}
	return end - first, nil
}
