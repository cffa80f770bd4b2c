package status

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/nodeclient"
	"github.com/cassiatally/cassiatally/operator/tabler"
)

// noValue stands for an empty field, so that the number of fields in plain lines is
// fixed.
const noValue = "-"

// section is one table. Each plain line begins with the name of its section.
type section struct {
	name, title string
	header      []string
	rows        [][]string
}

func (s *section) add(fields ...string) {
	for i, f := range fields {
		if f == "" {
			fields[i] = noValue
		}
	}
	s.rows = append(s.rows, fields)
}

func (s *section) print(env environment.Environment) error {
	t := tabler.Table{Header: s.header}
	for _, r := range s.rows {
		if !env.Terminal {
			r = append([]string{s.name}, r...)
		}
		t.Add(r...)
	}
	return t.Print(env.Stdout, env.Terminal)
}

// sectionsOf returns the tables. With all, the table of nodes has one row for each
// node that answered, from its own status; otherwise it has all members that the only
// queried node reports.
func sectionsOf(statuses []nodeclient.Status, all bool) []section {
	return []section{
		nodes(statuses, all), services(statuses[0]), backends(statuses), sheds(statuses),
		queueWaits(statuses), requests(statuses), shards(statuses), links(statuses),
	}
}

func nodes(statuses []nodeclient.Status, all bool) section {
	s := section{
		name: "node", title: "Nodes",
		header: []string{"node", "data centre", "service", "state", "sheet", "in flight", "limit", "slots", "queued", "notes"},
	}
	for i := range statuses {
		for _, m := range statuses[i].Members {
			if all && m.Node != statuses[i].Node {
				continue
			}
			s.add(m.Node, m.DataCentre, m.Service, m.State, formatCount(m.Sheet), strconv.Itoa(m.InFlight), strconv.Itoa(m.Limit),
				strconv.Itoa(m.Slots), strconv.Itoa(m.Queued), notes(m))
		}
	}
	return s
}

func notes(m nodeclient.Member) string {
	var out []string
	if m.Suspect {
		out = append(out, "suspect")
	}
	if m.Leaving {
		out = append(out, "leaving")
	}
	return strings.Join(out, ",")
}

func services(reporter nodeclient.Status) section {
	s := section{
		name: "service", title: "Services, as " + reporter.Node + " sees them",
		header: []string{"service", "data centre", "endpoints", "capacity", "level by rank"},
	}
	for _, v := range reporter.Services {
		s.add(v.Service, v.DataCentre, strconv.Itoa(v.Endpoints), strconv.Itoa(v.Capacity), formatLevels(v.Levels))
	}
	return s
}

func backends(statuses []nodeclient.Status) section {
	s := section{
		name: "backend", title: "Local backend servers",
		header: []string{"node", "service", "state", "in flight", "limit", "slots", "queued", "typical time", "late results", "crashes", "suspect requests", "quarantined requests", "level by rank"},
	}
	for i := range statuses {
		l := statuses[i].Local
		s.add(statuses[i].Node, l.Service, l.State, strconv.Itoa(l.InFlight), strconv.Itoa(l.Limit), strconv.Itoa(l.Slots),
			strconv.Itoa(l.Queued), formatSeconds(l.TypicalSeconds), formatCount(l.LateResults), formatCount(l.Crashes), strconv.Itoa(l.SuspectRequests), strconv.Itoa(l.QuarantinedRequests), formatLevels(l.Levels))
	}
	return s
}

// sheds lists where and why requests were refused: in the queue before the backend
// server, or in answers to the callers of the node.
func sheds(statuses []nodeclient.Status) section {
	s := section{
		name: "shed", title: "Shed since the start of the node",
		header: []string{"node", "where", "rank", "reason", "count"},
	}
	for i := range statuses {
		for _, v := range statuses[i].Local.Sheds {
			s.add(statuses[i].Node, "backend", strconv.Itoa(v.Rank), v.Kind, formatCount(v.Count))
		}
		for _, v := range statuses[i].Requests.Refused {
			s.add(statuses[i].Node, "caller", strconv.Itoa(v.Rank), v.Kind, formatCount(v.Count))
		}
	}
	return s
}

func queueWaits(statuses []nodeclient.Status) section {
	s := section{
		name: "queue", title: "Queue before the backend server",
		header: []string{"node", "rank", "started", "mean wait"},
	}
	for i := range statuses {
		for _, q := range statuses[i].Local.Queue {
			s.add(statuses[i].Node, strconv.Itoa(q.Rank), formatCount(q.Started), formatSeconds(q.WaitSeconds/float64(max(q.Started, 1))))
		}
	}
	return s
}

func requests(statuses []nodeclient.Status) section {
	s := section{
		name: "request", title: "Requests sent on",
		header: []string{"node", "callers waiting", "refused at entry", "retries", "retries denied", "redirects", "late answers", "incomplete", "outcome queries"},
	}
	for i := range statuses {
		r := statuses[i].Requests
		s.add(statuses[i].Node, strconv.Itoa(r.InFlight), formatCount(r.RefusedAtEntry), formatCount(r.Retries), formatCount(r.RetriesDenied),
			formatCount(r.Redirects), formatCount(r.LateAnswers), formatCount(r.IncompleteAnswers), formatCount(r.OutcomeQueries))
	}
	return s
}

// shards lists each shard of a data centre once, from the first node that reports
// it.
func shards(statuses []nodeclient.Status) section {
	s := section{
		name: "shard", title: "Shards of idempotency keys",
		header: []string{"data centre", "shard", "epoch", "holder", "standby", "complete from"},
	}
	seen := map[string]bool{}
	for i := range statuses {
		n := statuses[i]
		for _, v := range n.Shards {
			id := fmt.Sprintf("%s/%d", n.DataCentre, v.Shard)
			if seen[id] {
				continue
			}
			seen[id] = true
			s.add(n.DataCentre, strconv.Itoa(v.Shard), formatCount(v.Epoch), v.Holder, v.Standby, formatCount(v.CompleteFrom))
		}
	}
	return s
}

func links(statuses []nodeclient.Status) section {
	s := section{
		name: "link", title: "Log and links",
		header: []string{"node", "control", "sheet", "follows log", "log contact", "links", "control sent", "control received", "request sent", "request received", "inbox refused"},
	}
	for i := range statuses {
		n := statuses[i]
		s.add(n.Node, n.Control, formatCount(n.Sheet.Version), yesOrNo(n.Sheet.FollowsLog), formatLogContact(n.Sheet), strconv.Itoa(n.Traffic.Links),
			formatBytes(n.Traffic.ControlSentBytes), formatBytes(n.Traffic.ControlReceivedBytes), formatBytes(n.Traffic.RequestSentBytes), formatBytes(n.Traffic.RequestReceivedBytes), formatRefused(n.RefusedByDuty))
	}
	return s
}

func formatLogContact(s nodeclient.Sheet) string {
	if s.LogContactSeconds < 0 {
		return noValue
	}
	return formatSeconds(s.LogContactSeconds) + " ago"
}

// formatRefused lists the duties that refused messages, with the counts.
func formatRefused(byDuty map[string]uint64) string {
	var out []string
	for _, duty := range slices.Sorted(maps.Keys(byDuty)) {
		if n := byDuty[duty]; n > 0 {
			out = append(out, duty+":"+formatCount(n))
		}
	}
	return strings.Join(out, " ")
}

func formatLevels(ls []float64) string {
	out := make([]string, 0, len(ls))
	for _, l := range ls {
		out = append(out, strconv.FormatFloat(l, 'f', 2, 64))
	}
	return strings.Join(out, " ")
}

func formatSeconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(100 * time.Microsecond).String()
}

func formatCount(n uint64) string { return strconv.FormatUint(n, 10) }

func formatBytes(n uint64) string { return formatCount(n) + " B" }

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
