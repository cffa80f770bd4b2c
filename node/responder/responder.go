// Package responder writes answers as HTTP responses: the outcome headers, the
// body with its digest, or a problem body as RFC 9457 describes it.
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
	// Root is shown to the caller; the zero value is left out.
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

// Write writes an answer.
func (r Responder) Write(c echo.Context, a cassiatally.Answer) error {
	h := c.Response().Header()
	h.Set(headers.Outcome, a.Outcome.String())
	if r.Root != (cassiatally.RootID{}) {
		h.Set(headers.Request, r.Root.String())
	}
	if a.RetryAfter > 0 {
		h.Set(headers.RetryAfter, seconds(a.RetryAfter))
	}
	if a.Kind == cassiatally.KindNone || (a.Kind == cassiatally.KindBackendFailed && a.Status != 0) {
		h.Set(headers.Digest, digestHeader(a.Digest))
		return c.Blob(a.Status, a.ContentType, a.Body)
	}
	return r.writeProblem(c, a)
}

// WriteError writes an error of the closed list.
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

func seconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func digestHeader(d cassiatally.Digest) string {
	return "sha-256=:" + base64.StdEncoding.EncodeToString(d[:]) + ":"
}

// ErrorHandler answers errors that echo itself raises, such as unknown paths.
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
