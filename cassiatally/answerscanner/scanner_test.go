package answerscanner_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"

	"github.com/cassiatally/cassiatally/cassiatally/answerscanner"
)

const (
	head    = "HTTP/1.1 200 OK\r\nA: b\r\n"
	chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
)

// malformed has answers up to a malformed field line, and what follows it.
var malformed = []struct{ name, before, after string }{
	{"space in a name", head + "X", " Y: 1\r\n\r\n"},
	{"space after a name", head + "Content-Length", " : 5\r\n\r\nhello"},
	{"space before a name", head, " X: 1\r\n\r\n"},
	{"tab before a name", head, "\tX: 1\r\n\r\n"},
	{"space before the first name", "HTTP/1.1 200 OK\r\n", " X: 1\r\n\r\n"},
	{"control byte in a name", head + "X", "\x01: 1\r\n\r\n"},
	{"DEL in a name", head + "X", "\x7f: 1\r\n\r\n"},
	{"byte above ASCII in a name", head + "X", "\xe9: 1\r\n\r\n"},
	{"carriage return before a name", head + "\r", "X: 1\r\n\r\n"},
	{"line feed before a name", head, "\nX: 1\r\n\r\n"},
	{"line without a colon", head + "X", "\r\n\r\n"},
	{"empty name", head, ": 1\r\n\r\n"},
	{"bare line feed after a value", head + "X: 1", "\n\r\n"},
	{"carriage return among bare line feeds", "HTTP/1.1 200 OK\nA: b\n", "\r\n"},
	{"value with a carriage return among bare line feeds", "HTTP/1.1 200 OK\nA: b\r", "\n\n"},
	{"interim answer", "HTTP/1.1 103 Early Hints\r\nX", " Y: 1\r\n\r\n" + head + "\r\n"},
	{"after an interim answer", "HTTP/1.1   100\r\n\r\n" + head + "X", " Y: 1\r\n\r\n"},
	{"first trailer", chunked, " X: 1\r\n\r\n"},
	{"name of a trailer", chunked + "A: b\r\nX", " Y: 1\r\n\r\n"},
	{"line feed before a trailer", chunked + "A: b\r\n", "\nX: 1\r\n\r\n"},
	{"trailer after an odd framing", "HTTP/1.1 200\r\ntransfer-ENCODING:chunked\r\n\r\n00A ;x=\"y z\"\r\n0123456789\r\n0;\r\n", ": 1\r\n\r\n"},
}

// wellFormed has answers without a malformed field line. Some have bytes that would be one
// where no field line is.
var wellFormed = map[string]string{
	"any bytes of a token":              head + "x-!#$%&'*+.^_`|~9: 1\r\n\r\n",
	"empty value":                       head + "X:\r\n\r\n",
	"any bytes in a value":              head + "X:\t a\xe9 b\t\r\n\r\n",
	"bare line feeds":                   "HTTP/1.1 200 OK\nA: b\n\n X: 1\r\n",
	"body":                              head + "Content-Length: 9\r\n\r\n X : 1\r\n\r\n",
	"body of a protocol without chunks": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n X: 1\r\n",
	"chunks":                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7;a b\r\n X : 1\n\r\n0\r\nX: 1\r\n\r\n X: 1",
	"no chunks":                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n X: 1",
	"switch of protocols":               "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n X: 1\r\n",
	"no answer":                         "hello\r\n\r\n X: 1\r\n",
}

// scan passes an answer to a scanner in pieces of a size, and returns the number of bytes
// that were accepted.
func scan(answer string, size int) (int, error) {
	var s answerscanner.Scanner
	s.Reset()
	for done := 0; done < len(answer); {
		piece := answer[done:min(done+size, len(answer))]
		n, err := s.Scan([]byte(piece))
		done += n
		if err != nil {
			return done, s.Err()
		}
	}
	return len(answer), nil
}

// Guards against a malformed field line that passes, however the bytes arrive, and against
// bytes after it that are passed on.
func TestMalformedFieldLines(t *testing.T) {
	for _, c := range malformed {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for size := 1; size <= len(c.before)+len(c.after); size++ {
				n, err := scan(c.before+c.after, size)
				is.True(errors.Is(err, answerscanner.ErrMalformed))
				is.Equal(n, len(c.before))
			}
		})
	}
}

// Guards against a well-formed answer that is refused.
func TestWellFormedFieldLines(t *testing.T) {
	for name, answer := range wellFormed {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for size := 1; size <= len(answer); size++ {
				_, err := scan(answer, size)
				is.NoErr(err)
			}
		})
	}
}

// Guards against bytes that are checked before the first answer or after an answer.
func TestUnchecked(t *testing.T) {
	is := is.New(t)
	var s answerscanner.Scanner
	_, err := s.Scan([]byte("HTTP/1.1 200 OK\r\n X: 1\r\n"))
	is.NoErr(err)
	s.Reset()
	_, err = s.Scan([]byte(chunked + "\r\n X: 1\r\n"))
	is.NoErr(err)
}

// Guards against a name that net/http reads from an answer that was accepted and that is
// no token, and against a line that it joins to another one.
func FuzzAcceptedAnswers(f *testing.F) {
	for _, c := range malformed {
		f.Add([]byte(c.before + c.after))
	}
	for _, answer := range wellFormed {
		f.Add([]byte(answer))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := scan(string(data), len(data)+1); err != nil {
			return
		}
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			for _, h := range []http.Header{resp.Header, resp.Trailer} {
				for name := range h {
					if !httpguts.ValidHeaderFieldName(name) && err == nil {
						t.Fatalf("name %q", name)
					}
				}
			}
			if resp.StatusCode < 100 || resp.StatusCode > 199 {
				return
			}
		}
	})
}
