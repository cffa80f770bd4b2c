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

// none stands for a field without a value, so that plain lines keep their fields.
const none = "-"

// section is one table. Plain lines begin with its name.
type section struct {
	name, title string
	header      []string
	rows        [][]string
}

func (s *section) add(fields ...string) {
	for i, f := range fields {
		if f == "" {
			fields[i] = none
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

// sectionsOf returns the tables. With all, the nodes table has the asked nodes
// only, as they see themselves; otherwise it has the fleet as the one sees it.
func sectionsOf(answered []nodeclient.Status, all bool) []section {
	return []section{
		nodes(answered, all), services(answered[0]), backends(answered), sheds(answered),
		waits(answered), requests(answered), shards(answered), links(answered),
	}
}

func nodes(answered []nodeclient.Status, all bool) section {
	s := section{
		name: "node", title: "Nodes",
		header: []string{"node", "data centre", "service", "state", "sheet", "in flight", "limit", "slots", "queued", "notes"},
	}
	for i := range answered {
		for _, m := range answered[i].Members {
			if all && m.Node != answered[i].Node {
				continue
			}
			s.add(m.Node, m.DataCentre, m.Service, m.State, count(m.Sheet), strconv.Itoa(m.InFlight), strconv.Itoa(m.Limit),
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

func services(seen nodeclient.Status) section {
	s := section{
		name: "service", title: "Services, as " + seen.Node + " sees them",
		header: []string{"service", "data centre", "endpoints", "capacity", "level by rank"},
	}
	for _, v := range seen.Services {
		s.add(v.Service, v.DataCentre, strconv.Itoa(v.Endpoints), strconv.Itoa(v.Capacity), levels(v.Levels))
	}
	return s
}

func backends(answered []nodeclient.Status) section {
	s := section{
		name: "backend", title: "Local backend servers",
		header: []string{"node", "service", "state", "in flight", "limit", "slots", "queued", "typical time", "late results", "crashes", "suspect requests", "quarantined requests", "level by rank"},
	}
	for i := range answered {
		l := answered[i].Local
		s.add(answered[i].Node, l.Service, l.State, strconv.Itoa(l.InFlight), strconv.Itoa(l.Limit), strconv.Itoa(l.Slots),
			strconv.Itoa(l.Queued), seconds(l.TypicalSeconds), count(l.LateResults), count(l.Crashes), strconv.Itoa(l.Suspects), strconv.Itoa(l.Quarantined), levels(l.Levels))
	}
	return s
}

// sheds tells where and why work was refused: at the queue before the backend
// server, or towards the callers of the node.
func sheds(answered []nodeclient.Status) section {
	s := section{
		name: "shed", title: "Shed since the start of the node",
		header: []string{"node", "where", "rank", "reason", "count"},
	}
	for i := range answered {
		for _, v := range answered[i].Local.Sheds {
			s.add(answered[i].Node, "backend", strconv.Itoa(v.Rank), v.Kind, count(v.Count))
		}
		for _, v := range answered[i].Requests.Refused {
			s.add(answered[i].Node, "caller", strconv.Itoa(v.Rank), v.Kind, count(v.Count))
		}
	}
	return s
}

func waits(answered []nodeclient.Status) section {
	s := section{
		name: "queue", title: "Queue before the backend server",
		header: []string{"node", "rank", "started", "mean wait"},
	}
	for i := range answered {
		for _, q := range answered[i].Local.Queue {
			s.add(answered[i].Node, strconv.Itoa(q.Rank), count(q.Started), seconds(q.WaitSeconds/float64(max(q.Started, 1))))
		}
	}
	return s
}

func requests(answered []nodeclient.Status) section {
	s := section{
		name: "request", title: "Requests sent on",
		header: []string{"node", "callers waiting", "refused at entry", "retries", "retries denied", "redirects", "late answers", "incomplete", "outcome queries"},
	}
	for i := range answered {
		r := answered[i].Requests
		s.add(answered[i].Node, strconv.Itoa(r.InFlight), count(r.RefusedAtEntry), count(r.Retries), count(r.RetriesDenied),
			count(r.Redirects), count(r.LateAnswers), count(r.Incomplete), count(r.Queries))
	}
	return s
}

// shards has each shard once for a data centre, from the first node that told it.
func shards(answered []nodeclient.Status) section {
	s := section{
		name: "shard", title: "Shards of idempotency keys",
		header: []string{"data centre", "shard", "epoch", "holder", "standby", "complete from"},
	}
	seen := map[string]bool{}
	for i := range answered {
		n := answered[i]
		for _, v := range n.Shards {
			id := fmt.Sprintf("%s/%d", n.DataCentre, v.Shard)
			if seen[id] {
				continue
			}
			seen[id] = true
			s.add(n.DataCentre, strconv.Itoa(v.Shard), count(v.Epoch), v.Holder, v.Standby, count(v.CompleteFrom))
		}
	}
	return s
}

func links(answered []nodeclient.Status) section {
	s := section{
		name: "link", title: "Log and links",
		header: []string{"node", "control", "sheet", "follows log", "log contact", "links", "control sent", "control received", "request sent", "request received", "inbox refused"},
	}
	for i := range answered {
		n := answered[i]
		s.add(n.Node, n.Control, count(n.Sheet.Version), yes(n.Sheet.FollowsLog), contact(n.Sheet), strconv.Itoa(n.Traffic.Links),
			bytes(n.Traffic.ControlSent), bytes(n.Traffic.ControlReceived), bytes(n.Traffic.RequestSent), bytes(n.Traffic.RequestReceived), refused(n.Refused))
	}
	return s
}

func contact(s nodeclient.Sheet) string {
	if s.LogContactSeconds < 0 {
		return none
	}
	return seconds(s.LogContactSeconds) + " ago"
}

// refused has the duties that refused messages, with their numbers.
func refused(byDuty map[string]uint64) string {
	var out []string
	for _, duty := range slices.Sorted(maps.Keys(byDuty)) {
		if n := byDuty[duty]; n > 0 {
			out = append(out, duty+":"+count(n))
		}
	}
	return strings.Join(out, " ")
}

func levels(ls []float64) string {
	out := make([]string, 0, len(ls))
	for _, l := range ls {
		out = append(out, strconv.FormatFloat(l, 'f', 2, 64))
	}
	return strings.Join(out, " ")
}

func seconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(100 * time.Microsecond).String()
}

func count(n uint64) string { return strconv.FormatUint(n, 10) }

func bytes(n uint64) string { return count(n) + " B" }

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
