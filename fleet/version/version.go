// Package version says which build of the program this is.
package version

import "runtime/debug"

// Number is the product's version.
const Number = "0.1.0"

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

// shortCommit is how many digits of a commit tell builds apart.
const shortCommit = 12

// Build names this build towards other nodes: the commit, cut short.
func Build() string {
	commit := Commit()
	return commit[:min(len(commit), shortCommit)]
}
