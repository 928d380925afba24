// Command lynxctl is the operators' tool of the fleet. It shows and changes the table, shows status,
// budgets and bills, analyzes logs, starts planned stops, and runs the demo and load runs.
package main

import (
	"os"

	"github.com/lynxshed/lynxshed/ctl/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
