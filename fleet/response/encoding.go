package response

import (
	"iter"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrEncoding means that the body of an answer has an encoding that its caller has not asked for.
var ErrEncoding = errors.New("the answer has an encoding that was not asked for")

// identity is the name for no encoding.
const identity = "identity"

// CheckEncoding returns an error if a request, whose header may be nil, does not ask for each encoding of
// the body of its answer. A name for none is removed from the answer.
func CheckEncoding(answer, request http.Header) error {
	encoded := false
	for coding := range elements(answer["Content-Encoding"]) {
		if strings.EqualFold(coding, identity) {
			continue
		}
		if encoded = true; !asksFor(request, coding) {
			return errors.Wrapf(ErrEncoding, "%q", coding)
		}
	}
	if !encoded {
		answer.Del("Content-Encoding")
	}
	return nil
}

// asksFor reports whether a request names an encoding, or any, with a weight above 0.
func asksFor(request http.Header, coding string) bool {
	anyOther := false
	for element := range elements(request["Accept-Encoding"]) {
		name, parameter, _ := strings.Cut(element, ";")
		switch name = strings.TrimSpace(name); {
		case strings.EqualFold(name, coding):
			return !isZero(parameter)
		case name == "*":
			anyOther = !isZero(parameter)
		}
	}
	return anyOther
}

func isZero(parameter string) bool {
	name, value, _ := strings.Cut(parameter, "=")
	weight, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	return strings.EqualFold(strings.TrimSpace(name), "q") && err == nil && weight <= 0
}

// elements yields the elements of a header's lists that are not empty.
func elements(lines []string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, line := range lines {
			for element := range strings.SplitSeq(line, ",") {
				if element = strings.TrimSpace(element); element != "" && !yield(element) {
					return
				}
			}
		}
	}
}
