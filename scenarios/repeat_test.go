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

// repeater is a caller that sends one request repeatedly.
type repeater struct {
	urls   []string
	body   string
	count  int
	pause  time.Duration
	done   chan struct{}
	counts map[string]int
}

// cmdRepeat sends the same body repeatedly in the background, to each URL in turn:
//
//	repeat NAME COUNT PAUSE BODY URL...
//	repeat NAME
//
// The second form waits for the last answer. It sets NAME_KIND to the number of
// answers with each error kind, NAME_ran to that of requests that were run,
// NAME_lost to that of requests without a usable answer, and NAME_sent.
func cmdRepeat(ts *testscript.TestScript, neg bool, args []string) {
	f := fleetOf(ts)
	switch {
	case neg || len(args) == 0:
		ts.Fatalf("usage: repeat NAME [COUNT PAUSE BODY URL...]")
	case len(args) == 1:
		r := f.repeaters[args[0]]
		<-r.done
		for kind, n := range r.counts {
			ts.Setenv(args[0]+"_"+kind, strconv.Itoa(n))
		}
		ts.Logf("%s: %v", args[0], r.counts)
	default:
		count, err := strconv.Atoi(args[1])
		ts.Check(err)
		pause, err := time.ParseDuration(args[2])
		ts.Check(err)
		r := &repeater{
			urls: args[4:], body: args[3], count: count, pause: pause, done: make(chan struct{}),
			counts: map[string]int{
				"sent": 0, "ran": 0, "quarantined": 0, "overloaded": 0, "outcome_unknown": 0, "lost": 0,
			},
		}
		f.repeaters[args[0]] = r
		go r.run()
	}
}

func (r *repeater) run() {
	defer close(r.done)
	for n := range r.count {
		r.counts["sent"]++
		r.counts[sendOnce(r.urls[n%len(r.urls)], r.body)]++
		time.Sleep(r.pause)
	}
}

// sendOnce returns the error kind of the answer, "ran" or "lost".
func sendOnce(url, body string) string {
	client := http.Client{Timeout: conditionTimeout}
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
