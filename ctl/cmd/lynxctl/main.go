// Command lynxctl is the operators' tool: the demo, the table, status, budgets,
// bills, explanations, planned stops and load runs.
package main

import (
	"os"

	"github.com/lynxshed/lynxshed/ctl/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
