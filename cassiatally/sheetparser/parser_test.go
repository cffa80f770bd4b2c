package sheetparser_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/sheet"
	"github.com/cassiatally/cassiatally/cassiatally/sheetparser"
)

const header = "service,kind,data_centre,zone,days,from,to,rank,share,target,idempotent\n"

func parse(file, text string) (sheet.Sheet, sheetparser.Report) {
	var p sheetparser.Parser
	return p.Parse(file, []byte(text))
}

// Guards against CSV dialects of spreadsheets or YAML that give other rows than
// plain CSV.
func TestFormatsGiveTheSameRows(t *testing.T) {
	want, report := parse("a.csv", header+"a,look,*,Europe/London,sat sun,06:00,12:00,1,0.1,800ms,true\n")
	is.New(t).Equal(len(report.Errors), 0)
	cases := []struct{ name, file, text string }{
		{"byte order mark and CRLF", "a.csv", "\ufeff" + strings.ReplaceAll(string(want.CSV()), "\n", "\r\n")},
		{"quoted fields", "a.csv", header + `"a","look","*","Europe/London","sat sun","06:00","12:00","1","0.1","800ms","TRUE"`},
		{"semicolons and decimal comma", "a.csv", "Service;Kind;Zone;Days;From;To;Rank;Share;Target;Idempotent\na;look;Europe/London;sat sun;6:00;12:00;1;0,1;800ms;TRUE\n;;;;;;;;;\n"},
		{"another order of columns", "a.csv", "kind,service,zone,days,from,to,rank,share,target,idempotent\nlook,a,Europe/London,sat-sun,06:00,12:00,1,0.1,800ms,true"},
		{"YAML", "a.yaml", "rows:\n  - service: a\n    kind: look\n    data_centre: '*'\n    zone: Europe/London\n    days: sat sun\n    from: 06:00\n    to: \"12:00\"\n    rank: 1\n    share: 0.1\n    target: 800ms\n    idempotent: true\n"},
		{"YAML in flow style with a byte order mark and CRLF", "a.YML", "\ufeffrows:\r\n- {service: a, kind: look, zone: Europe/London, days: sat sun, from: '06:00', to: '12:00', rank: 1, share: 0.1, target: 800ms, idempotent: true}\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, report := parse(c.file, c.text)
			is.NoErr(report.Err())
			is.Equal(got, want)
		})
	}
}

// Guards against errors that are accepted, or reported at a wrong position.
func TestErrors(t *testing.T) {
	row := "a,look,*,,*,,,1,0.1,800ms,true\n"
	cases := []struct {
		name, file, text string
		want             []string
	}{
		{"empty file", "s.csv", "", []string{"1:1 "}},
		{"no rows", "s.csv", header, []string{"1:1 "}},
		{"unknown column", "s.csv", "service,kind,rank,target,idempotent,colour\n", []string{"1:37 "}},
		{"column twice", "s.csv", "service,kind,rank,target,idempotent,rank\n", []string{"1:37 rank"}},
		{"missing column", "s.csv", "service,kind,rank,target\n", []string{"1:1 idempotent"}},
		{"all faults of all rows", "s.csv", header + "a b,,dc/1,Mars/Base,someday,25:00,1,9,1.5,800,maybe\n" + "b,x,*,Local,*,24:00,01:00,0,NaN,0s,true\n", []string{
			"2:1 service", "2:5 kind", "2:6 data_centre", "2:11 zone", "2:21 days", "2:29 from", "2:35 to", "2:37 rank", "2:39 share", "2:43 target", "2:47 idempotent",
			"3:7 zone", "3:15 from", "3:29 share", "3:33 target",
		}},
		{"one end of a window", "s.csv", header + "a,look,*,,*,06:00,,1,0.1,800ms,true\n", []string{"2:19 to"}},
		{"window without length", "s.csv", header + "a,look,*,,*,06:00,06:00,1,0.1,800ms,true\n", []string{"2:19 to"}},
		{"bare quote", "s.csv", header + "a,lo\"ok,*,,*,,,1,0.1,800ms,true\n", []string{"2:5 "}},
		{"too many fields", "s.csv", header + "a,look,*,,*,,,1,0.1,800ms,true,more\n", []string{"2:32 "}},
		{"idempotent differs", "s.csv", header + row + "a,look,dc1,,*,,,1,0.1,800ms,false\n", []string{"3:29 idempotent"}},
		{"share of a rank differs", "s.csv", header + row + "a,list,*,,*,,,1,0.2,800ms,true\n", []string{"3:17 share"}},
		{"shares exceed one", "s.csv", header + "a,l,*,,*,,,1,0.6,1s,true\na,m,*,,*,,,2,0.6,1s,true\n", []string{"3:14 share"}},
		{"too many rows", "s.csv", header + strings.Repeat(row, sheet.MaxRows+1), []string{"10002:1 "}},
		{"file too large", "s.csv", strings.Repeat("x", sheet.MaxBytes+1), []string{"1:1 "}},
		{"YAML with unknown keys", "s.yaml", "colour: red\nrows:\n- service: a\n  kind: k\n  hue: 1\n  rank: 0\n  target: 1s\n  idempotent: true\n", []string{"1:1 ", "5:3 "}},
		{"YAML with a list as value", "s.yaml", "rows:\n- {service: a, kind: k, days: [sat], rank: 0, target: 1s, idempotent: true}\n", []string{"2:31 days"}},
		{"YAML alias", "s.yaml", "rows:\n- &r\n  service: a\n- *r\n", []string{"2:3 ", "4:3 "}},
		{"YAML with an empty row", "s.yaml", "rows:\n- {}\n- ~\n", []string{"2:3 ", "3:3 "}},
		{"YAML syntax", "s.yaml", "rows:\n- service: [\n", []string{"2:12 "}},
		{"YAML nested too deeply", "s.yaml", strings.Repeat("[\n", 100_000), []string{"1:1 "}},
		{"YAML line too long", "s.yaml", "rows:\n" + strings.Repeat("- ", 10_000), []string{"2:4097 "}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, report := parse(c.file, c.text)
			var got []string
			for _, p := range report.Errors {
				got = append(got, fmt.Sprintf("%d:%d %s", p.Line, p.Column, p.Field))
				is.True(p.Message != "" && p.Fix != "")
			}
			is.Equal(strings.Join(got, "\n"), strings.Join(c.want, "\n"))
			is.Equal(len(s.Rows), 0)
			is.Equal(cassiatally.KindOf(report.Err()), cassiatally.KindInvalidSheet)
		})
	}
}

// Guards against gaps and overlaps without a warning, and against warnings about
// a sheet that has none.
func TestWarnings(t *testing.T) {
	cases := []struct {
		name string
		rows []string
		want []string
	}{
		{"sound week", []string{"a,k,*,,mon-fri,,,1,0,1s,true", "a,k,*,,sat sun,00:00,12:00,0,0,1s,true", "a,k,*,,sat sun,12:00,24:00,1,0,1s,true"}, nil},
		{"sound nights", []string{"a,k,*,,*,18:00,06:00,1,0,1s,true", "a,k,*,,*,06:00,18:00,0,0,1s,true"}, nil},
		{"specific data centre beside the others", []string{"a,k,*,,*,,,1,0,1s,true", "a,k,dc1,,*,06:00,12:00,0,0,1s,true"}, nil},
		{"gap at night", []string{"a,k,*,Asia/Manila,*,06:00,18:00,1,0,1s,true"}, []string{"2: no row from mon 00:00 to mon 06:00, mon 18:00 to tue 06:00, tue 18:00 to wed 06:00, wed 18:00 to thu 06:00, 4 more Asia/Manila"}},
		{"gap at the weekend", []string{"a,k,*,Asia/Manila,mon-fri,,,1,0,1s,true"}, []string{"2: no row from sat 00:00 to mon 00:00 Asia/Manila"}},
		{"gap at one data centre only", []string{"a,k,dc1,,*,,,1,0,1s,true"}, []string{"2: data centre * has no row from mon 00:00 to mon 00:00 UTC"}},
		{"overlap after midnight", []string{"a,k,*,,*,,,1,0,1s,true", "a,k,*,,sun,23:00,01:00,0,0,1s,true"}, []string{"3: earlier row that holds too, from sun 23:00 UTC on"}},
		{
			"zones that differ by the season",
			[]string{"a,k,*,UTC,*,00:00,12:00,1,0,1s,true", "a,k,*,Europe/London,*,12:00,24:00,0,0,1s,true"},
			[]string{"3: from mon 11:00 UTC on", "2: no row from mon 23:00 to tue 00:00"},
		},
		{"shares over one half", []string{"a,k,*,,*,,,1,0.3,1s,true", "a,l,*,,*,,,2,0.3,1s,true"}, []string{"3: add up to 0.6"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, report := parse("s.csv", header+strings.Join(c.rows, "\n"))
			is.NoErr(report.Err())
			is.Equal(len(report.Warnings), len(c.want))
			for i, w := range c.want {
				line, text, _ := strings.Cut(w, ": ")
				is.Equal(fmt.Sprint(report.Warnings[i].Line), line)
				is.True(strings.Contains(report.Warnings[i].Message, text))
			}
		})
	}
}

// Guards against a canonical form that is parsed to another sheet.
func TestCanonicalFormReadsBack(t *testing.T) {
	is := is.New(t)
	s, report := parse("s.csv", header+"a,k,dc1,Asia/Manila,fri-sun,22:00,06:30,3,0.05,1m30s,false\na,k,*,,*,,,0,0.333333333,1ms,false\n")
	is.NoErr(report.Err())
	again, report := parse("s.csv", string(s.CSV()))
	is.NoErr(report.Err())
	is.Equal(again, s)
}

func FuzzCSV(f *testing.F)  { fuzz(f, "s.csv") }
func FuzzYAML(f *testing.F) { fuzz(f, "s.yaml") }

// fuzz guards against panics on malformed files, and against accepted sheets whose
// canonical form, as the log stores it, is parsed to another sheet.
func fuzz(f *testing.F, file string) {
	seeds, err := filepath.Glob("testdata/seeds/*" + filepath.Ext(file))
	if err != nil || len(seeds) == 0 {
		f.Fatal("no seeds in testdata/seeds")
	}
	for _, name := range seeds {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var p sheetparser.Parser
		s, report := p.Parse(file, data)
		if report.Err() != nil {
			return
		}
		again, report := p.Parse("s.csv", s.CSV())
		is.New(t).NoErr(report.Err())
		is.New(t).Equal(again, s)
	})
}
