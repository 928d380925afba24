// Package early catches the process's signals before other packages are initialized. A signal
// that arrives before it is caught terminates the process, and most of the time until then is
// the initialization of all packages. This package imports as little as possible, since a
// package is initialized after its imports.
package early

import (
	"os"
	"os/signal"
	"syscall"
)

var (
	stops   = notify(syscall.SIGTERM, syscall.SIGINT)
	reloads = notify(syscall.SIGHUP)
)

// maxPending is how many signals are buffered until they are handled.
const maxPending = 2

func notify(signals ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, maxPending)
	signal.Notify(c, signals...)
	return c
}

// Stops returns the channel of the signals that stop the process.
func Stops() <-chan os.Signal { return stops }

// Reloads returns the channel of SIGHUP.
func Reloads() <-chan os.Signal { return reloads }

// Release restores the default handling of signals, for commands that run no node.
func Release() { signal.Reset() }
