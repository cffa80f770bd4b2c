package recoverer_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
)

// Guards against a panic that ends the process, or that leaves no trace in the log.
func TestRecover(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := &recoverer.Recoverer{Logger: log.New(&out), Duty: "executor"}
	func() {
		defer r.Recover()
		var m map[string]int
		m["a"]++
	}()
	is.True(strings.Contains(out.String(), "duty=executor"))
	is.True(strings.Contains(out.String(), "nil map"))
	is.True(strings.Contains(out.String(), "recoverer_test.go"))
}

// Guards against a Recoverer that is not set and hides a panic.
func TestWithoutARecoverer(t *testing.T) {
	is := is.New(t)
	defer func() { is.True(recover() != nil) }()
	var r *recoverer.Recoverer
	defer r.Recover()
	panic("unexpected")
}
