package scenarios_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// insistence is a caller that sends one request again and again.
type insistence struct {
	urls   []string
	body   string
	count  int
	pause  time.Duration
	done   chan struct{}
	counts map[string]int
}

// cmdInsist sends the same body again and again in the background, to each URL
// in turn:
//
//	insist NAME COUNT PAUSE BODY URL...
//	insist NAME
//
// The second form waits for the end. It sets NAME_KIND for each error kind that
// was answered, NAME_ran for requests that were run, and NAME_sent.
func cmdInsist(ts *testscript.TestScript, neg bool, args []string) {
	f := fleetOf(ts)
	switch {
	case neg || len(args) == 0:
		ts.Fatalf("usage: insist NAME [COUNT PAUSE BODY URL...]")
	case len(args) == 1:
		i := f.insistences[args[0]]
		<-i.done
		for kind, n := range i.counts {
			ts.Setenv(args[0]+"_"+kind, strconv.Itoa(n))
		}
		ts.Logf("%s: %v", args[0], i.counts)
	default:
		count, err := strconv.Atoi(args[1])
		ts.Check(err)
		pause, err := time.ParseDuration(args[2])
		ts.Check(err)
		i := &insistence{
			urls: args[4:], body: args[3], count: count, pause: pause, done: make(chan struct{}),
			counts: map[string]int{
				"sent": 0, "ran": 0, "quarantined": 0, "overloaded": 0, "outcome_unknown": 0, "lost": 0,
			},
		}
		f.insistences[args[0]] = i
		go i.run()
	}
}

func (i *insistence) run() {
	defer close(i.done)
	for n := range i.count {
		i.counts["sent"]++
		i.counts[insistOnce(i.urls[n%len(i.urls)], i.body)]++
		time.Sleep(i.pause)
	}
}

// insistOnce returns the error kind of the answer, or "ran".
func insistOnce(url, body string) string {
	client := http.Client{Timeout: conditionLimit}
	resp, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return "lost"
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	var problem struct {
		Kind    string `json:"kind"`
		Outcome string `json:"outcome"`
	}
	switch {
	case err != nil:
		return "lost"
	case resp.StatusCode == http.StatusOK:
		return "ran"
	case json.Unmarshal(data, &problem) != nil:
		return "lost"
	}
	return problem.Kind
}
