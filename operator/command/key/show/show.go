// Package show prints the outcome of the request with an idempotency key.
//
// # Usage
//
//	err := show.New(env).Execute(ctx, env, args)
package show

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/nodeclient"
	"github.com/cassiatally/cassiatally/operator/tabler"
)

const defaultTimeout = 5 * time.Second

// Options are the inputs of the command.
type Options struct {
	Env     environment.Environment
	Key     string
	Node    string
	Timeout time.Duration
	JSON    bool
}

type output struct {
	Key        string `json:"key"`
	DataCentre string `json:"data_centre"`
	Shard      int    `json:"shard"`
	Epoch      uint64 `json:"epoch"`
	Outcome    string `json:"outcome"`
	Status     int    `json:"status"`
	Kind       string `json:"kind,omitempty"`
	Detail     string `json:"detail,omitempty"`
	Body       string `json:"body,omitempty"`
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env, Timeout: defaultTimeout}
	p := flagparser.New("cassiatally key show")
	p.Positional(&o.Key, "KEY", "the idempotency key", true)
	p.Flags.String(&o.Node, "", "node", "address for callers of a node (required)")
	p.Flags.Duration(&o.Timeout, "", "timeout", "time to wait for the node (default: 5s)")
	p.Flags.Bool(&o.JSON, "", "json", "print the outcome as JSON")
	return cli.Command{
		Name:      "key show",
		Arguments: "KEY --node ADDRESS [--timeout 5s] [--json]",
		Summary:   "Show what became of the request with a key.",
		Description: "Prints the outcome and, while it is stored, the answer. It exits with 1 when the\n" +
			"outcome is unknown.",
		Examples: []string{"cassiatally key show edinburgh.3.1.00c0ffee00c0ffee --node 10.20.1.11:7400"},
		Parser:   p,
		Run:      func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run looks the key up and prints its outcome.
func Run(ctx context.Context, o *Options) error {
	if o.Node == "" {
		return cassiatally.NewError(cassiatally.KindUsage, "no node is named; add --node ADDRESS with listen.callers of a node")
	}
	parts, err := cassiatally.ParseKey(cassiatally.Key(o.Key))
	if err != nil {
		return cassiatally.NewError(cassiatally.KindUsage, "%v; copy the key as it was minted", err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	a, err := nodeclient.Client{HTTP: o.Env.HTTP}.Lookup(ctx, cassiatally.Address(o.Node), cassiatally.Key(o.Key))
	if err != nil {
		return errors.Wrap(err, "look the key up; try again or another node of its data centre")
	}
	out := output{
		Key: o.Key, DataCentre: string(parts.Shard.DataCentre), Shard: int(parts.Shard.Shard), Epoch: uint64(parts.Epoch),
		Outcome: a.Outcome.String(), Status: a.Status, Kind: a.Kind, Detail: a.Detail,
	}
	if a.Kind == "" {
		out.Body = string(a.Body)
	}
	if err := printOutcome(o, out); err != nil {
		return err
	}
	if a.Outcome == cassiatally.OutcomeUnknown {
		return errors.Newf("the outcome is unknown (%s); ask again later, and if it stays unknown, let a person find out at the service: never send the work again under a new key", a.Kind)
	}
	return nil
}

func printOutcome(o *Options, out output) error {
	if o.JSON {
		return json.NewEncoder(o.Env.Stdout).Encode(out)
	}
	t := tabler.Table{Header: []string{"field", "value"}}
	t.Add("outcome", out.Outcome)
	t.Add("status", strconv.Itoa(out.Status))
	for _, f := range [][2]string{
		{"kind", out.Kind},
		{"detail", out.Detail},
		{"data_centre", out.DataCentre},
		{"shard", strconv.Itoa(out.Shard)},
		{"epoch", strconv.FormatUint(out.Epoch, 10)},
	} {
		if f[1] != "" {
			t.Add(f[0], f[1])
		}
	}
	if err := t.Print(o.Env.Stdout, o.Env.Terminal); err != nil {
		return err
	}
	if out.Body == "" {
		return nil
	}
	_, err := fmt.Fprintf(o.Env.Stdout, "\n%s\n", out.Body)
	return err
}
