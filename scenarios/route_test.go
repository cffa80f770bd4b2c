package scenarios_test

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/rogpeppe/go-internal/testscript"
)

// unusedTarget is the target of a route until the port of the node behind it is
// known. Connections to it are refused.
const unusedTarget = "127.0.0.1:1"

type routeBody struct {
	Name   string `json:"name,omitempty"`
	Listen string `json:"listen,omitempty"`
	Target string `json:"target"`
}

// addRoute adds a route for a node that is about to start and returns its address.
func addRoute(ts *testscript.TestScript, faults, name string) string {
	return putRoute(ts, http.MethodPost, routesURL(ts, faults), routeBody{Name: name, Target: unusedTarget}).Listen
}

func changeRoute(ts *testscript.TestScript, faults, name, target string) {
	putRoute(ts, http.MethodPut, routesURL(ts, faults)+"/"+name, routeBody{Target: target})
}

// routesURL returns the URL at which routes are added: routes that forward frames
// if the variable FRAMES is set, and routes that forward TCP otherwise.
func routesURL(ts *testscript.TestScript, faults string) string {
	if ts.Getenv("FRAMES") != "" {
		return "http://" + faults + "/v1/links"
	}
	return "http://" + faults + "/v1/routes"
}

func putRoute(ts *testscript.TestScript, method, url string, body routeBody) routeBody {
	data, err := json.Marshal(body)
	ts.Check(err)
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	ts.Check(err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		ts.Fatalf("%s %s: %s", method, url, resp.Status)
	}
	var answer routeBody
	ts.Check(json.NewDecoder(resp.Body).Decode(&answer))
	return answer
}

// cmdRoute adds a route of the fault proxy FAULTS and puts its address into a
// variable:
//
//	route VARIABLE NAME [TARGET]
//
// Without a target, connections are refused until the script sets one.
func cmdRoute(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: route VARIABLE NAME [TARGET]")
	}
	faults := ts.Getenv("FAULTS")
	ts.Setenv(args[0], addRoute(ts, faults, args[1]))
	if len(args) > 2 {
		changeRoute(ts, faults, args[1], args[2])
	}
}
