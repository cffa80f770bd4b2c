// Package reconcilecommand implements the command that compares the results
// reported to callers with the runs at backend servers.
//
// # Usage
//
//	cmd := reconcilecommand.New()
//	help, err := cmd.Parser.Parse(args)
//	err = cmd.Run(ctx, env)
package reconcilecommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/standin/command/environment"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/reconciler"
	"github.com/cassiatally/cassiatally/standin/recorder"
)

const (
	readTimeout = time.Minute
	// maxListed bounds the number of violations that are printed individually.
	maxListed = 20
)

// Options are the flags of the command.
type Options struct {
	Recorder string
	JSON     bool
}

// Command is the reconcile command.
type Command struct {
	Parser  *flagparser.Parser
	Options Options
}

type reportBody struct {
	ReportedResults int                     `json:"told"`
	Runs            int                     `json:"runs"`
	Unfinished      int                     `json:"unfinished"`
	Repeated        int                     `json:"repeated"`
	Outcomes        map[string]int          `json:"outcomes"`
	Counts          map[reconciler.Rule]int `json:"counts"`
	Violations      []violationBody         `json:"violations"`
}

type violationBody struct {
	Rule  reconciler.Rule `json:"rule"`
	ID    core.RequestID  `json:"id"`
	Key   cassiatally.Key `json:"key"`
	Class string          `json:"class"`
	Runs  []core.RecordID `json:"runs"`
}

// New returns the command with its flags attached.
func New() *Command {
	c := &Command{Parser: flagparser.New("cassiatally-standin reconcile")}
	c.Parser.Flags.Description = "Compare what callers were told with what backend servers ran"
	c.Parser.Flags.String(&c.Options.Recorder, "", "recorder", "URL of the recorder")
	c.Parser.Flags.Bool(&c.Options.JSON, "", "json", "print JSON")
	return c
}

// Run prints the report, and returns an error when there are violations.
func (c *Command) Run(ctx context.Context, env *environment.Environment) error {
	if c.Options.Recorder == "" {
		return environment.UsageError("--recorder is needed")
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	client := &recorder.Client{URL: strings.TrimSuffix(c.Options.Recorder, "/"), HTTP: http.DefaultClient}
	results, err := client.ReportedResults(ctx)
	if err != nil {
		return err
	}
	runs, err := client.Runs(ctx)
	if err != nil {
		return err
	}
	report := reconciler.New(runs).Check(results)
	if err := c.print(env.Stdout, report); err != nil {
		return err
	}
	if n := len(report.Violations); n > 0 {
		return errors.Newf("%d violations", n)
	}
	return nil
}

func (c *Command) print(w io.Writer, r reconciler.Report) error {
	if c.Options.JSON {
		return errors.Wrap(json.NewEncoder(w).Encode(encodeReport(r)), "printing the report")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "told\t%d\nruns\t%d\nunfinished_runs\t%d\nrepeated_without_key\t%d\n", r.ReportedResults, r.Runs, r.Unfinished, r.Repeated)
	for _, o := range []string{core.ReportedRan, core.ReportedNotRun, core.ReportedUnknown} {
		fmt.Fprintf(t, "told_%s\t%d\n", o, r.Outcomes[o])
	}
	for _, rule := range reconciler.Rules() {
		fmt.Fprintf(t, "%s\t%d\n", rule, r.Count(rule))
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "printing the report")
	}
	for i, v := range r.Violations {
		if i == maxListed {
			break
		}
		fmt.Fprintf(w, "violation rule=%s id=%s key=%s class=%s runs=%d\n", v.Rule, v.ID, v.Key, v.Class, len(v.Runs))
	}
	return nil
}

func encodeReport(r reconciler.Report) reportBody {
	body := reportBody{
		ReportedResults: r.ReportedResults, Runs: r.Runs, Unfinished: r.Unfinished, Repeated: r.Repeated, Outcomes: r.Outcomes,
		Counts: make(map[reconciler.Rule]int), Violations: make([]violationBody, 0, len(r.Violations)),
	}
	for _, rule := range reconciler.Rules() {
		body.Counts[rule] = r.Count(rule)
	}
	for _, v := range r.Violations {
		body.Violations = append(body.Violations, violationBody(v))
	}
	return body
}
