package main

import (
	"context"
	"os"

	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/cmd/lynxshed/early"
	"github.com/lynxshed/lynxshed/fleet/relay"
	"github.com/lynxshed/lynxshed/platform"
)

// serveRelay runs a relaying node on the users' platform until SIGTERM, which begins a planned
// stop; a second signal stops the node at once.
func serveRelay(file string) int {
	stop, reload := early.Stops(), early.Reloads()
	if file == "" {
		file = platform.SettingsPath()
	}
	s, err := relay.LoadSettings(file)
	if err != nil {
		return failed(err)
	}
	sink := relay.NewSink(os.Stdout)
	logger := relay.NewLogger(sink, s.Node, s.LogLevel)
	n, err := relay.New(s, platform.New(s.Store), logger)
	if err != nil {
		return failed(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go stopRelay(ctx, stop, n, cancel)
	go reloadRelay(reload, file, logger)
	if err := n.Run(ctx); err != nil {
		return failed(err)
	}
	return exitDone
}

// stopRelay begins a planned stop on the first signal and stops the node at once on the second.
func stopRelay(ctx context.Context, signals <-chan os.Signal, n *relay.Node, cancel context.CancelFunc) {
	<-signals
	go func() {
		n.Leave(ctx)
		cancel()
	}()
	<-signals
	cancel()
}

// reloadRelay handles SIGHUP: it validates the settings file and logs the result. The node's
// listeners and the address of its store can't change while it runs.
func reloadRelay(signals <-chan os.Signal, file string, logger log.Interface) {
	for range signals {
		s, err := relay.LoadSettings(file)
		if err != nil {
			logger.WithError(err).Error("reloaded settings are not valid: the previous ones stay in force")
			continue
		}
		logger.WithField("zone", s.Zone).Info("settings reloaded")
	}
}
