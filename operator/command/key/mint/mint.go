// Package mint mints an idempotency key.
//
// # Usage
//
//	err := mint.New(env).Execute(ctx, env, args)
package mint

import (
	"context"
	"encoding/json"
	"fmt"
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
	Node    string
	Timeout time.Duration
	JSON    bool
}

type output struct {
	Key cassiatally.Key `json:"key"`
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env, Timeout: defaultTimeout}
	p := flagparser.New("cassiatally key mint")
	p.Flags.String(&o.Node, "", "node", "address for callers of a node (required)")
	p.Flags.Duration(&o.Timeout, "", "timeout", "time to wait for the node (default: 5s)")
	p.Flags.Bool(&o.JSON, "", "json", "print the key as JSON")
	return cli.Command{
		Name:      "key mint",
		Arguments: "--node ADDRESS [--timeout 5s] [--json]",
		Summary:   "Mint an idempotency key.",
		Description: "Mint one key for each booking or signing, keep it, and use it for all sends of that\n" +
			"request.",
		Examples: []string{"cassiatally key mint --node 10.20.1.11:7400"},
		Parser:   p,
		Run:      func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run mints a key and prints it.
func Run(ctx context.Context, o *Options) error {
	if o.Node == "" {
		return cassiatally.NewError(cassiatally.KindUsage, "no node is named; add --node ADDRESS with listen.callers of a node")
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	k, err := nodeclient.Client{HTTP: o.Env.HTTP}.Mint(ctx, cassiatally.Address(o.Node))
	if err != nil {
		return err
	}
	if o.JSON {
		return json.NewEncoder(o.Env.Stdout).Encode(output{k})
	}
	_, err = fmt.Fprintln(o.Env.Stdout, k)
	return err
}
