package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"aspenstall/internal/node"
	"aspenstall/internal/notify/control"
)

// notifyCmd holds the commands for notifications.
type notifyCmd struct {
	Controller string        `help:"Address of a controller's :listen of :notify." default:"127.0.0.1:4650" placeholder:"HOST:PORT"`
	Output     string        `help:"How to print: text or json." enum:"text,json" default:"text"`
	Timeout    time.Duration `help:"How long to wait." default:"10s"`

	List  struct{}              `cmd:"" help:"How the subscriptions stand."`
	Show  showCmd               `cmd:"" help:"What was put aside."`
	Retry failedNotificationCmd `cmd:"" help:"Send again what was put aside."`
	Drop  failedNotificationCmd `cmd:"" help:"Forget what was put aside."`
}

// showCmd holds the arguments of the command that lists failed notifications.
type showCmd struct {
	Subscription string `arg:"" optional:"" help:"Of this subscription only."`
}

// failedNotificationCmd holds the arguments of the commands for one notification, which was put
// aside because its delivery failed.
type failedNotificationCmd struct {
	Subscription string `arg:""`
	Job          string `arg:""`
	Event        string `arg:"" help:"accepted, done or cancelled"`
}

// run sends a command to a controller and prints the response.
func (c *notifyCmd) run(command string, w io.Writer) error {
	ask := &control.Request{}
	switch words := strings.Fields(command); control.Op(words[1]) {
	case control.List:
		ask.Op = control.List
	case control.Show:
		ask.Op, ask.Subscription = control.Show, c.Show.Subscription
	case control.Retry:
		ask = &control.Request{Op: control.Retry, Subscription: c.Retry.Subscription, Job: c.Retry.Job, Kind: c.Retry.Event}
	case control.Drop:
		ask = &control.Request{Op: control.Drop, Subscription: c.Drop.Subscription, Job: c.Drop.Job, Kind: c.Drop.Event}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	out, err := control.Call(ctx, http.DefaultClient, c.Controller, ask)
	if err != nil {
		return err
	}
	if (ask.Op == control.Retry || ask.Op == control.Drop) && !out.Succeeded {
		return errors.New("no such notification is put aside, or it is being delivered now")
	}
	if c.Output == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(out)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	switch ask.Op {
	case control.List:
		fmt.Fprintln(t, "SUBSCRIPTION\tRECEIVER\tWAITING\tASIDE")
		for _, s := range out.Subscriptions {
			waiting := fmt.Sprint(s.Waiting)
			if s.More {
				waiting += " and more"
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\n", s.Name, s.Receiver, waiting, s.DeadLetters)
		}
	case control.Show:
		fmt.Fprintln(t, "SUBSCRIPTION\tJOB\tEVENT\tAT\tWHY")
		for _, d := range out.DeadLetters {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", d.Subscription, d.Job, d.Kind, d.At.Format(time.RFC3339), d.Reason)
		}
	default:
		fmt.Fprintln(t, "done")
	}
	return t.Flush()
}

// serveOperators serves the commands for notifications on a loopback address.
func serveOperators(n *node.Node, address string, log *slog.Logger) error {
	return serveAuxiliary("operators", address, 16, log, &http.Server{
		Handler: control.Handler(n), ReadTimeout: 10 * time.Second, WriteTimeout: 20 * time.Second,
	})
}
