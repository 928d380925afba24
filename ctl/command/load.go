package command

import (
	"github.com/integrii/flaggy"
)

func (a *app) loadCommand() *flaggy.Subcommand {
	return flaggy.NewSubcommand("load")
}

func (a *app) load() error { return usage("not built yet") }
