package scenarios_test

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdProxied has the links of nodes that start later go through routes of a
// fault proxy, which are named after the nodes: proxied FAULTS-ADDRESS NODE...
func cmdProxied(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: proxied FAULTS-ADDRESS NODE...")
	}
	for _, node := range args[1:] {
		target := freeAddress(ts)
		body, err := json.Marshal(map[string]string{"name": node, "listen": "127.0.0.1:0", "target": target})
		ts.Check(err)
		resp, err := http.Post("http://"+args[0]+"/v1/routes", "application/json", strings.NewReader(string(body)))
		ts.Check(err)
		var route struct {
			Listen string `json:"listen"`
		}
		ts.Check(json.NewDecoder(resp.Body).Decode(&route))
		ts.Check(resp.Body.Close())
		ts.Setenv(node+"_listen", target)
		ts.Setenv(node+"_advertise", route.Listen)
	}
}

// freeAddress returns an address whose port the kernel chose and nobody uses.
func freeAddress(ts *testscript.TestScript) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	ts.Check(l.Close())
	return l.Addr().String()
}

// cmdLeaving waits until a node says that it leaves, or no longer answers:
// leaving ADMIN-ADDRESS.
func cmdLeaving(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: leaving ADMIN-ADDRESS")
	}
	for deadline := time.Now().Add(conditionLimit); time.Now().Before(deadline); time.Sleep(pollPause) {
		body, err := fetch("http://" + args[0] + "/v1/status")
		if err != nil || strings.Contains(string(body), `"leaving":true,"control"`) {
			return
		}
	}
	ts.Fatalf("%s did not leave within %v", args[0], conditionLimit)
}
