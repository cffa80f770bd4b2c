package recoverer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
)

// errorLog collects the lines of errors.
type errorLog struct{ strings.Builder }

func (*errorLog) Debug(any, ...any) {}
func (*errorLog) Info(any, ...any)  {}
func (*errorLog) Warn(any, ...any)  {}

func (l *errorLog) Error(event any, fields ...any) { fmt.Fprintln(l, event, fields) }

// Guards against a panic that ends the process, or that leaves no trace in the log.
func TestRecover(t *testing.T) {
	is := is.New(t)
	var out errorLog
	r := &recoverer.Recoverer{Logger: &out, Duty: "executor"}
	func() {
		defer r.Recover()
		var list []int
		list[len(out.String())]++
	}()
	is.True(strings.Contains(out.String(), "duty executor"))
	is.True(strings.Contains(out.String(), "index out of range"))
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
