package node

import "runtime/debug"

// Version is the product's version.
const Version = "0.1.0"

// Commit is the commit that the program was built from, "unknown" without one.
func Commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return "unknown"
}
