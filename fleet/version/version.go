// Package version identifies the build of the program.
package version

import "runtime/debug"

// Number is the product's version.
const Number = "0.1.0"

// Commit returns the commit that the program was built from, or "unknown".
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

// shortCommit is the number of digits of a commit that distinguish builds.
const shortCommit = 12

// Build returns the name of this build for other nodes: the first digits of the commit.
func Build() string {
	commit := Commit()
	return commit[:min(len(commit), shortCommit)]
}
