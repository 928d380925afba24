package command

import (
	"testing"

	"github.com/lynxshed/lynxshed/ctl/capacity"
)

func (a *app) capacity() error {
	testing.Init() // registers the flags that testing.Benchmark reads
	return capacity.Write(a.out, capacity.Planned(), capacity.Measure())
}
