package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/ctl/demo"
)

func (a *app) demo() error {
	deployment, err := demo.Get(a.flags.deployment)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	log.SetHandler(text.New(os.Stderr))
	log.SetLevel(log.WarnLevel)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if a.flags.demoTime > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.flags.demoTime)
		defer cancel()
	}
	d, err := demo.Start(ctx, deployment.WithNodes(a.flags.nodeCount), log.Log)
	if err != nil {
		return err
	}
	defer d.Close()
	if err := writeAddresses(a.flags.addrFile, d.Info()); err != nil {
		return err
	}
	a.printWelcome(deployment, d.Info())
	<-ctx.Done()
	return nil
}

func writeAddresses(file string, info demo.Info) error {
	if file == "" {
		return nil
	}
	data, err := json.Marshal(info)
	if err != nil {
		return errors.Wrap(err, "encode addresses")
	}
	// The file is written under a temporary name and then renamed, so that readers never see it incomplete.
	if err := os.WriteFile(file+".tmp", data, 0o600); err != nil {
		return errors.Wrap(err, "write addresses")
	}
	return errors.Wrap(os.Rename(file+".tmp", file), "write addresses")
}

func (a *app) printWelcome(d demo.Deployment, info demo.Info) {
	fmt.Fprintf(a.out, "%s is ready: %d nodes, %d engines, %d applications, %d customers.\n\n", d.Name, len(info.Nodes), len(info.Engines), len(info.Applications), len(info.Customers))
	fmt.Fprintf(a.out, "Stream an answer:\n\n  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n\n", info.Nodes[0].URL, info.Customers[0].Key, d.Services[0].Name)
	fmt.Fprintf(a.out, "See the fleet:\n\n  export LYNXSHED_KEY=%s\n  lynxctl status --node %s\n\nControl URL: %s\n", info.OperatorKey, info.Nodes[0].URL, info.Control)
}
