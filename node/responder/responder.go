// Package responder writes answers as HTTP responses: the outcome headers, and the body
// with its digest or, for an error, a problem body as in RFC 9457.
//
// # Usage
//
//	return responder.Responder{Root: root}.Write(c, answer)
package responder

import (
	"encoding/base64"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/headers"
)

// problemType prefixes the type member of problem bodies.
const problemType = "urn:cassiatally:error:"

// Responder writes the answer to one request.
type Responder struct {
	// Root is sent in the Cassiatally-Request header unless it is zero.
	Root cassiatally.RootID
}

type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
}

// Write writes an answer, as a problem body when it is an error of the node.
func (r Responder) Write(c echo.Context, a cassiatally.Answer) error {
	h := c.Response().Header()
	h.Set(headers.Outcome, a.Outcome.String())
	if r.Root != (cassiatally.RootID{}) {
		h.Set(headers.Request, r.Root.String())
	}
	if a.RetryAfter > 0 {
		h.Set(headers.RetryAfter, ceilSeconds(a.RetryAfter))
	}
	if a.Kind == cassiatally.KindNone || (a.Kind == cassiatally.KindBackendFailed && a.Status != 0) {
		h.Set(headers.Digest, digestHeader(a.Digest))
		return c.Blob(a.Status, a.ContentType, a.Body)
	}
	return r.writeProblem(c, a)
}

// WriteError writes an error as an answer.
func (r Responder) WriteError(c echo.Context, err *cassiatally.Error) error {
	return r.Write(c, cassiatally.Answer{Outcome: err.Outcome, Kind: err.Kind, Detail: err.Detail})
}

func (r Responder) writeProblem(c echo.Context, a cassiatally.Answer) error {
	spec := a.Kind.Spec()
	body, err := json.Marshal(problem{
		Type:    problemType + spec.Name,
		Title:   spec.Title,
		Status:  spec.Status,
		Detail:  a.Detail,
		Kind:    spec.Name,
		Outcome: a.Outcome.String(),
	})
	if err != nil {
		return err
	}
	c.Response().Header().Set(headers.Digest, digestHeader(cassiatally.DigestOf(body)))
	return c.Blob(spec.Status, "application/problem+json", body)
}

func ceilSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func digestHeader(d cassiatally.Digest) string {
	return "sha-256=:" + base64.StdEncoding.EncodeToString(d[:]) + ":"
}

// ErrorHandler writes the errors that echo itself returns, such as for unknown paths.
func ErrorHandler(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	kind, detail := cassiatally.KindInternal, err.Error()
	if he, ok := err.(*echo.HTTPError); ok { //nolint:errorlint // echo passes its errors unwrapped
		if he.Code < http.StatusInternalServerError {
			kind = cassiatally.KindBadRequest
		}
		if he.Code == http.StatusRequestEntityTooLarge {
			kind = cassiatally.KindTooLarge
		}
	}
	_ = Responder{}.WriteError(c, cassiatally.NewError(kind, "%s", detail))
}
