package ingress

import "syscall"

// callersShare is the share of the descriptors of a process for callers' connections. The rest is left
// for connections to endpoints, to other nodes and to the store, and for files.
const callersShare = 0.5

// MaxConns returns how many connections of callers a process may have that may open some descriptors; 0
// means the limit of this process.
func MaxConns(files int) int {
	if files <= 0 {
		files = openFilesLimit()
	}
	return int(callersShare * float64(files))
}

// openFilesLimit returns how many descriptors this process may open; 0: unknown.
func openFilesLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	const most = 1 << 24 // more, or "unlimited", is no bound
	return int(min(limit.Cur, most))
}
