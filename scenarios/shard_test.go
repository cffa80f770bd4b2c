package scenarios_test

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// shardEntry is a shard in the status of a node.
type shardEntry struct {
	Shard        int    `json:"shard"`
	Epoch        uint64 `json:"epoch"`
	Holder       string `json:"holder"`
	Standby      string `json:"standby"`
	CompleteFrom uint64 `json:"complete_from"`
}

// cmdShard waits until the status of a node has holder and standby of a shard:
//
//	shard PREFIX ADMIN-ADDRESS SHARD [CONDITION...]
//
// Conditions are holder!=REF, standby!=REF, epoch>N and complete_from>N. It sets
// PREFIX_holder_ref, PREFIX_standby_ref, PREFIX_epoch, PREFIX_complete_from and,
// for holder and standby, PREFIX_holder, PREFIX_holder_admin and
// PREFIX_holder_callers.
func cmdShard(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: shard PREFIX ADMIN-ADDRESS SHARD [CONDITION...]")
	}
	number, err := strconv.Atoi(args[2])
	ts.Check(err)
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		s, ok := readShard(args[1], number)
		if ok && s.meets(ts, args[3:]) {
			s.setVariables(ts, args[0])
			return
		}
	}
	ts.Fatalf("shard %s did not reach %s within %v", args[2], strings.Join(args[3:], " "), conditionTimeout)
}

func readShard(admin string, number int) (shardEntry, bool) {
	body, err := fetch("http://" + admin + "/v1/status")
	if err != nil {
		return shardEntry{}, false
	}
	var status struct {
		Shards []shardEntry `json:"shards"`
	}
	if json.Unmarshal(body, &status) != nil {
		return shardEntry{}, false
	}
	for _, s := range status.Shards {
		if s.Shard == number {
			return s, nodeOf(s.Holder) != "" && nodeOf(s.Standby) != ""
		}
	}
	return shardEntry{}, false
}

func (s shardEntry) meets(ts *testscript.TestScript, conditions []string) bool {
	values := map[string]uint64{"epoch": s.Epoch, "complete_from": s.CompleteFrom}
	refs := map[string]string{"holder": s.Holder, "standby": s.Standby}
	for _, c := range conditions {
		if name, ref, ok := strings.Cut(c, "!="); ok {
			if refs[name] == ref {
				return false
			}
			continue
		}
		name, value, ok := strings.Cut(c, ">")
		if !ok {
			ts.Fatalf("condition %s is neither NAME!=REF nor NAME>N", c)
		}
		n, err := strconv.ParseUint(value, 10, 64)
		ts.Check(err)
		if values[name] <= n {
			return false
		}
	}
	return true
}

func (s shardEntry) setVariables(ts *testscript.TestScript, prefix string) {
	ts.Setenv(prefix+"_epoch", strconv.FormatUint(s.Epoch, 10))
	ts.Setenv(prefix+"_complete_from", strconv.FormatUint(s.CompleteFrom, 10))
	for role, ref := range map[string]string{"holder": s.Holder, "standby": s.Standby} {
		name := nodeOf(ref)
		ts.Setenv(prefix+"_"+role+"_ref", ref)
		ts.Setenv(prefix+"_"+role, name)
		ts.Setenv(prefix+"_"+role+"_admin", ts.Getenv(name+"_admin"))
		ts.Setenv(prefix+"_"+role+"_callers", ts.Getenv(name+"_callers"))
	}
}

// nodeOf returns the node in a reference NODE/INCARNATION.
func nodeOf(ref string) string {
	name, _, _ := strings.Cut(ref, "/")
	return name
}
