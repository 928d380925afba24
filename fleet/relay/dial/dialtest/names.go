package dialtest

import "strings"

// InvalidStatuses returns statuses of three digits that end no request, each with its reason.
func InvalidStatuses() []string {
	return []string{"000 None", "099 None", "101 Switching Protocols", "600 None", "999 None"}
}

const blanks = " \t"

// FoldedNames returns names of header fields with a blank in front, whose lines continue the one before.
func FoldedNames(valid string) []string {
	return []string{" " + valid, "\t" + valid}
}

// InvalidNames returns names of header fields that are like a valid one but for a blank or a control byte, in
// front of it, inside or behind it. Those of FoldedNames are not among them.
func InvalidNames(valid string) []string {
	var all []string
	for b := range 256 {
		if b == '\n' || b > ' ' && b < 0x7f || b > 0x80 && b < 0xff {
			continue
		}
		one := string([]byte{byte(b)})
		all = append(all, valid+one+"a", valid+one)
		if !strings.ContainsAny(one, blanks) {
			all = append(all, one+valid)
		}
	}
	return all
}
