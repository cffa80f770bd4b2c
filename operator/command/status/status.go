// Package status prints the state of nodes and of the fleet as they report it.
//
// # Usage
//
//	err := status.New(env).Execute(ctx, env, args)
package status

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/nodeclient"
)

const defaultTimeout = 5 * time.Second

// Options are the inputs of the command.
type Options struct {
	Env     environment.Environment
	Nodes   []string
	All     bool
	Timeout time.Duration
	JSON    bool
}

// view is the status of one node, or the error if it could not be read.
type view struct {
	Address cassiatally.Address `json:"address"`
	Error   string              `json:"error,omitempty"`
	Raw     json.RawMessage     `json:"status,omitempty"`
	status  nodeclient.Status
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env, Timeout: defaultTimeout}
	p := flagparser.New("cassiatally status")
	p.Flags.StringSlice(&o.Nodes, "", "node", "address for operators of a node (required); may be given several times")
	p.Flags.Bool(&o.All, "", "all", "ask every given node, not only the first that answers")
	p.Flags.Duration(&o.Timeout, "", "timeout", "time to wait for each node (default: 5s)")
	p.Flags.Bool(&o.JSON, "", "json", "print what the nodes sent as a JSON array")
	return cli.Command{
		Name:      "status",
		Arguments: "--node ADDRESS [--node ADDRESS ...] [--all] [--timeout 5s] [--json]",
		Summary:   "Show the state of the fleet as nodes see it.",
		Description: "Prints nodes, services, what is shed and why, shards, the log and links. Without\n" +
			"--all, it shows the view of the first node that answers. With --all, it asks each\n" +
			"given node for its own state and exits with 1 when one does not answer.",
		Examples: []string{
			"cassiatally status --node 10.20.1.11:7403",
			"cassiatally status --node 10.20.1.11:7403 --node 10.21.1.11:7403 --all --json",
		},
		Parser: p,
		Run:    func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run queries the nodes and prints their status.
func Run(ctx context.Context, o *Options) error {
	if len(o.Nodes) == 0 {
		return cassiatally.NewError(cassiatally.KindUsage, "no node is named; add --node ADDRESS with listen.admin of a node")
	}
	if o.Timeout <= 0 {
		return cassiatally.NewError(cassiatally.KindUsage, "the timeout must be above 0; try --timeout 5s")
	}
	views, failure := queryNodes(ctx, o)
	if err := printViews(o, views); err != nil {
		return err
	}
	return failure
}

// queryNodes returns the views to print. The error names the nodes without an
// answer, unless one answer was enough.
func queryNodes(ctx context.Context, o *Options) ([]view, error) {
	var views []view
	var unanswered []string
	for _, n := range o.Nodes {
		v := queryNode(ctx, o, cassiatally.Address(n))
		if v.Error != "" {
			unanswered = append(unanswered, n+" ("+v.Error+")")
		}
		switch {
		case o.All:
			views = append(views, v)
		case v.Error == "":
			return []view{v}, nil
		}
	}
	if len(unanswered) == 0 {
		return views, nil
	}
	return views, cassiatally.NewError(cassiatally.KindUnreachable, "%d of %d nodes did not answer: %s; check that they run and that the addresses are their listen.admin",
		len(unanswered), len(o.Nodes), strings.Join(unanswered, ", "))
}

func queryNode(ctx context.Context, o *Options, a cassiatally.Address) view {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	status, raw, err := nodeclient.Client{HTTP: o.Env.HTTP}.Status(ctx, a)
	if err != nil {
		return view{Address: a, Error: err.Error()}
	}
	return view{Address: a, Raw: raw, status: status}
}

func printViews(o *Options, views []view) error {
	if o.JSON {
		if views == nil {
			views = []view{}
		}
		return json.NewEncoder(o.Env.Stdout).Encode(views)
	}
	var statuses []nodeclient.Status
	for i := range views {
		if views[i].Error == "" {
			statuses = append(statuses, views[i].status)
		}
	}
	if len(statuses) == 0 {
		return nil
	}
	for i, s := range sectionsOf(statuses, o.All) {
		if o.Env.Terminal {
			if i > 0 {
				fmt.Fprintln(o.Env.Stdout)
			}
			fmt.Fprintln(o.Env.Stdout, s.title)
		}
		if err := s.print(o.Env); err != nil {
			return err
		}
	}
	return nil
}
