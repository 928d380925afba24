package command

import (
	"testing"

	"github.com/lynxshed/lynxshed/ctl/capacity"
)

func (a *app) capacity() error {
	testing.Init() // the measurements use the testing package's benchmarks
	return capacity.Write(a.out, capacity.Designed(), capacity.Measure())
}
