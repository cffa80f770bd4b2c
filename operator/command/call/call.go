// Package call sends a request as a caller does and prints its outcome.
//
// # Usage
//
//	err := call.New(env).Execute(ctx, env, args)
package call

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/operator/adviser"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/tabler"
)

const (
	defaultTimeout = time.Second
	maxResends     = 16
)

// Options are the inputs of the command.
type Options struct {
	Env     environment.Environment
	Service string
	Kind    string
	Node    string
	Tenant  string
	Timeout time.Duration
	Body    string
	File    string
	Key     string
	Resend  int
	JSON    bool
}

type output struct {
	Outcome  string `json:"outcome"`
	Status   int    `json:"status"`
	Kind     string `json:"kind,omitempty"`
	Detail   string `json:"detail,omitempty"`
	Key      string `json:"key,omitempty"`
	Request  string `json:"request,omitempty"`
	Sends    int    `json:"sends"`
	LookedUp bool   `json:"looked_up"`
	TookMS   int64  `json:"took_ms"`
	Body     string `json:"body"`
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env, Timeout: defaultTimeout}
	p := flagparser.New("cassiatally call")
	p.Positional(&o.Service, "SERVICE", "the service, such as avail-svc", true)
	p.Positional(&o.Kind, "KIND", "the kind of work, such as check", true)
	p.Flags.String(&o.Node, "", "node", "address for callers of a node (required)")
	p.Flags.String(&o.Tenant, "", "tenant", "organisation on whose behalf the request is sent")
	p.Flags.Duration(&o.Timeout, "", "timeout", "time to wait for an answer (default: 1s)")
	p.Flags.String(&o.Body, "", "body", "body of the request")
	p.Flags.String(&o.File, "", "file", "file with the body of the request")
	p.Flags.String(&o.Key, "", "key", "idempotency key to send; without it one is minted if needed")
	p.Flags.Int(&o.Resend, "", "resend", "how often to send again (default: 0)")
	p.Flags.Bool(&o.JSON, "", "json", "print the answer as JSON")
	return cli.Command{
		Name:      "call",
		Arguments: "SERVICE KIND --node ADDRESS [--tenant T] [--timeout 1s] [--body TEXT | --file F] [--key K] [--resend N] [--json]",
		Summary:   "Send a request as a caller and show its outcome.",
		Description: "Mints a key when the kind of work needs one, checks that the answer is whole, and\n" +
			"looks the key up when the outcome is unknown. With --resend it sends a request again\n" +
			"only where that cannot run it twice. It exits with 0 when the request was run\n" +
			"successfully and with 1 otherwise.",
		Examples: []string{
			"cassiatally call avail-svc check --node 10.20.1.11:7400 --body '{\"id\":\"r-1\"}'",
			"cassiatally call booking-svc confirm --node 10.20.1.11:7400 --file booking.json --timeout 2s --resend 2",
		},
		Parser: p,
		Run:    func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run sends the request and prints the answer.
func Run(ctx context.Context, o *Options) error {
	if err := validate(o); err != nil {
		return err
	}
	body, err := readBody(o)
	if err != nil {
		return err
	}
	started := o.Env.Clock.Now()
	s := newSender(o, body)
	if err := s.run(ctx); err != nil {
		return err
	}
	if err := printAnswer(o, s, o.Env.Clock.Now().Sub(started)); err != nil {
		return err
	}
	return resultError(s)
}

func validate(o *Options) error {
	switch {
	case o.Node == "":
		return cassiatally.NewError(cassiatally.KindUsage, "no node is named; add --node ADDRESS with listen.callers of a node")
	case o.Timeout <= 0:
		return cassiatally.NewError(cassiatally.KindUsage, "the timeout must be above 0; try --timeout 1s")
	case o.Body != "" && o.File != "":
		return cassiatally.NewError(cassiatally.KindUsage, "both --body and --file are given; keep one of them")
	case o.Resend < 0 || o.Resend > maxResends:
		return cassiatally.NewError(cassiatally.KindUsage, "--resend must be from 0 to %d", maxResends)
	}
	if o.Key == "" {
		return nil
	}
	if _, err := cassiatally.ParseKey(cassiatally.Key(o.Key)); err != nil {
		return cassiatally.NewError(cassiatally.KindUsage, "%v; mint one with cassiatally key mint", err)
	}
	return nil
}

func readBody(o *Options) ([]byte, error) {
	if o.File == "" {
		return []byte(o.Body), nil
	}
	data, err := os.ReadFile(o.File)
	if err != nil {
		return nil, errors.Wrap(err, "read the body; check the name of the file")
	}
	if len(data) > cassiatally.MaxBodyBytes {
		return nil, cassiatally.NewError(cassiatally.KindTooLarge, "%s has %d bytes; a body may have %d", o.File, len(data), cassiatally.MaxBodyBytes)
	}
	return data, nil
}

func printAnswer(o *Options, s *sender, took time.Duration) error {
	a := s.answer
	out := output{
		Outcome: a.Outcome.String(), Status: a.Status, Kind: a.Kind, Detail: a.Detail, Key: string(s.key), Request: a.Request,
		Sends: s.sends, LookedUp: s.lookedUp, TookMS: took.Milliseconds(), Body: string(a.Body),
	}
	if o.JSON {
		return json.NewEncoder(o.Env.Stdout).Encode(out)
	}
	t := tabler.Table{Header: []string{"field", "value"}}
	t.Add("outcome", out.Outcome)
	if out.Status > 0 {
		t.Add("status", strconv.Itoa(out.Status))
	}
	for _, f := range [][2]string{{"kind", out.Kind}, {"detail", out.Detail}, {"key", out.Key}, {"request", out.Request}} {
		if f[1] != "" {
			t.Add(f[0], f[1])
		}
	}
	t.Add("sends", strconv.Itoa(out.Sends))
	t.Add("took", took.Round(time.Millisecond).String())
	if err := t.Print(o.Env.Stdout, o.Env.Terminal); err != nil {
		return err
	}
	_, err := fmt.Fprintf(o.Env.Stdout, "\n%s\n", a.Body)
	return err
}

// resultError returns nil when the request was run successfully. The error has no
// ErrorKind: a kind for a malformed HTTP request would make the program exit with
// the code for wrong usage of the command.
func resultError(s *sender) error {
	a := s.answer
	if a.Outcome == cassiatally.OutcomeRan && a.Kind == "" && a.Status < http.StatusBadRequest {
		return nil
	}
	if a.Kind == "" {
		return errors.Newf("the backend server answered with status %d; see the body", a.Status)
	}
	return errors.Newf("%s: %s", a.Kind, adviser.Adviser{}.Advice(a.Kind, s.key != ""))
}
