// Command lynxshed runs one node of the fleet on one entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strings"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/integrii/flaggy"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/cmd/lynxshed/early"
	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/node"
	"github.com/lynxshed/lynxshed/fleet/relay"
	"github.com/lynxshed/lynxshed/fleet/settings"
	"github.com/lynxshed/lynxshed/fleet/version"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run()) }

func run() int {
	clock.FollowTestSource()
	var file string
	flaggy.SetName("lynxshed")
	flaggy.SetDescription("one node of the lynxshed router fleet")
	flaggy.SetVersion(versionLine())
	runCommand := flaggy.NewSubcommand("run")
	runCommand.Description = "run the node until SIGTERM (a planned stop; a second one ends at once)"
	runCommand.String(&file, "s", "settings", "file of settings, JSON with comments")
	checkCommand := flaggy.NewSubcommand("check")
	checkCommand.Description = "check the settings and print every fault"
	checkCommand.String(&file, "s", "settings", "file of settings, JSON with comments")
	forRelay := false
	checkCommand.Bool(&forRelay, "r", "relay", "the settings are those of a relaying node")
	versionCommand := flaggy.NewSubcommand("version")
	versionCommand.Description = "print version, commit and Go version"
	relayCommand := flaggy.NewSubcommand("relay")
	relayCommand.Description = "run a relaying node on the users' platform until SIGTERM"
	relayCommand.String(&file, "s", "settings", "file of settings, JSON with comments; else where the platform lays it")
	for _, c := range []*flaggy.Subcommand{runCommand, checkCommand, relayCommand, versionCommand} {
		flaggy.AttachSubcommand(c, 1)
	}
	flaggy.Parse()
	if !relayCommand.Used && !runCommand.Used {
		early.Release()
	}
	switch {
	case versionCommand.Used:
		fmt.Println(versionLine())
		return exitDone
	case relayCommand.Used:
		return serveRelay(file)
	case !runCommand.Used && !checkCommand.Used:
		return usage("want one of run, relay, check, version")
	case file == "":
		return usage("want --settings FILE")
	case checkCommand.Used && forRelay:
		return reportCheck(relay.LoadSettings(file))
	case checkCommand.Used:
		return reportCheck(settings.Load(file))
	default:
		return serve(file)
	}
}

func versionLine() string {
	return fmt.Sprintf("lynxshed %s commit %s %s", version.Number, version.Commit(), runtime.Version())
}

func usage(text string) int {
	fmt.Fprintln(os.Stderr, "lynxshed: "+text)
	return exitUsage
}

func failed(err error) int {
	fmt.Fprintln(os.Stderr, "lynxshed: "+err.Error())
	return exitFailed
}

// reportCheck prints whether settings are valid, and returns the exit code.
func reportCheck[S any](_ S, err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, err.Error())
		return exitFailed
	}
	fmt.Println("settings are sound")
	return exitDone
}

func serve(file string) int {
	stop := early.Stops()
	s, err := settings.Load(file)
	if err != nil {
		return failed(err)
	}
	setUpLog(s.Log)
	if s.Limits.MemoryMB == 0 {
		s.Limits.MemoryMB = memory.OfProcess()
	}
	if err := memory.LimitProcess(s.Limits.MemoryMB); err != nil {
		log.WithError(err).Warn("the collector's limit leaves no room for the program")
	}
	fleetKey, err := settings.ReadSecret(s.FleetKeyFile)
	if err != nil {
		return failed(err)
	}
	hashes, err := settings.ReadSecret(s.OperatorHashesFile)
	if err != nil {
		return failed(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n, err := node.New(ctx, node.Options{Settings: s, FleetKey: fleetKey, OperatorHashes: strings.Fields(hashes)})
	if err != nil {
		return failed(err)
	}
	go stopOnSignals(stop, n, cancel)
	if err := n.Run(ctx); err != nil {
		return failed(err)
	}
	return exitDone
}

// stopOnSignals begins a planned stop on the first signal and stops the node at once on the second.
func stopOnSignals(signals <-chan os.Signal, n *node.Node, cancel context.CancelFunc) {
	<-signals
	n.StartDrain()
	<-signals
	cancel()
}

func setUpLog(l settings.Log) {
	log.SetLevel(log.MustParseLevel(l.Level))
	log.SetHandler(json.New(os.Stderr))
	if l.Format == "text" {
		log.SetHandler(text.New(os.Stderr))
	}
}
