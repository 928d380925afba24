package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/standin/application"
	"github.com/lynxshed/lynxshed/standin/engine"
	"github.com/lynxshed/lynxshed/standin/platform"
)

const (
	standinHeaderTimeout = 10 * time.Second
	standinCallTime      = 2 * time.Millisecond
)

func standinHandler(kind string) (http.Handler, error) {
	switch kind {
	case "platform":
		return platform.New(platform.Options{}).Handler(), nil
	case "engine":
		return engine.New(engine.Options{Name: kind, ChecksFence: true}).Handler(), nil
	case "application":
		return application.New(kind, standinCallTime).Handler(), nil
	default:
		return nil, usage("stand-in %q: want platform, engine or application", kind)
	}
}

// standin serves one stand-in until the process receives SIGINT or SIGTERM.
func (a *app) standin() error {
	handler, err := standinHandler(a.flags.argument)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", a.flags.listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", a.flags.listen)
	}
	fmt.Fprintf(a.out, "http://%s\n", listener.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
