package sheetdiffer_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally/sheet"
	"github.com/cassiatally/cassiatally/cassiatally/sheetdiffer"
	"github.com/cassiatally/cassiatally/cassiatally/sheetparser"
)

func parse(t *testing.T, rows string) sheet.Sheet {
	var p sheetparser.Parser
	s, report := p.Parse("s.csv", []byte("service,kind,data_centre,zone,days,from,to,rank,share,target,idempotent\n"+rows))
	is.New(t).NoErr(report.Err())
	return s
}

// Guards against changes that are missing from the text. An operator whose sheet
// was refused because another one was published first decides by this text.
func TestDiff(t *testing.T) {
	base := "a,k,*,,*,,,1,0.1,1s,true\na,l,dc1,Asia/Manila,sat,22:00,06:00,0,,2s,false\n"
	cases := []struct{ name, before, after, want string }{
		{"equal", base, base, ""},
		{"order only", base, "a,l,dc1,Asia/Manila,sat,22:00,06:00,0,,2s,false\na,k,*,,*,,,1,0.1,1s,true\n", ""},
		{"changed fields", base, "a,k,*,,*,,,2,0.2,1s,true\na,l,dc1,Asia/Manila,sat,22:00,06:00,0,,2s,false\n", "~ a/k at *, always: rank 1 -> 2, share 0.1 -> 0.2\n"},
		{"added", "a,k,*,,*,,,1,0.1,1s,true\n", base, "+ a/l at dc1, sat 22:00-06:00 Asia/Manila: rank 0, share 0, target 2s, idempotent false\n"},
		{"removed", base, "a,k,*,,*,,,1,0.1,1s,true\n", "- a/l at dc1, sat 22:00-06:00 Asia/Manila: rank 0, share 0, target 2s, idempotent false\n"},
		{"another window", "a,k,*,,*,,,1,0.1,1s,true\n", "a,k,*,,mon,,,1,0.1,1s,true\n", "+ a/k at *, mon: rank 1, share 0.1, target 1s, idempotent true\n- a/k at *, always: rank 1, share 0.1, target 1s, idempotent true\n"},
		{"one of two equal rows removed", "a,k,*,,*,,,1,0.1,1s,true\na,k,*,,*,,,1,0.1,1s,true\n", "a,k,*,,*,,,1,0.1,1s,true\n", "- a/k at *, always: rank 1, share 0.1, target 1s, idempotent true\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var d sheetdiffer.Differ
			is.New(t).Equal(d.Text(d.Diff(parse(t, c.before), parse(t, c.after))), c.want)
		})
	}
}
