package backendserver

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/core"
)

// request is a decoded request of the node.
type request struct {
	kind    cassiatally.WorkKind
	run     core.RunToken
	root    core.Root
	key     cassiatally.Key
	tenant  cassiatally.Tenant
	id      core.RequestID
	timeout time.Duration
	body    []byte
}

type requestBody struct {
	ID core.RequestID `json:"id"`
}

type answerBody struct {
	Service  cassiatally.Service  `json:"service"`
	Kind     cassiatally.WorkKind `json:"kind"`
	Run      core.RunToken        `json:"run"`
	ID       core.RequestID       `json:"id"`
	Children []json.RawMessage    `json:"children,omitempty"`
	Pad      string               `json:"pad,omitempty"`
}

type problemBody struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Kind   string `json:"kind"`
}

func parseRequest(c echo.Context) (request, error) {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return request{}, errors.Wrap(err, "reading the request")
	}
	h := c.Request().Header
	r := request{
		kind:    cassiatally.WorkKind(c.Param("kind")),
		run:     core.RunToken(h.Get(core.HeaderRun)),
		root:    core.Root(h.Get(core.HeaderRoot)),
		key:     cassiatally.Key(h.Get(core.HeaderKey)),
		tenant:  cassiatally.Tenant(h.Get(core.HeaderTenant)),
		timeout: defaultTimeout,
		body:    body,
	}
	if v := h.Get(core.HeaderTimeout); v != "" {
		r.timeout, err = time.ParseDuration(v)
		if err != nil {
			return r, errors.Wrapf(err, "%s is not a duration such as 800ms", core.HeaderTimeout)
		}
	}
	var fields requestBody
	if json.Unmarshal(body, &fields) == nil {
		// Bodies of other formats are accepted too; their records have no id.
		r.id = fields.ID
	}
	return r, nil
}

func (r request) newRun(s *Server) core.Run {
	return core.Run{
		Run: r.run, Root: r.root, Service: s.Service, Kind: r.kind, ID: r.id,
		Digest: cassiatally.DigestOf(r.body).String(), Key: r.key, Backend: s.Address, State: core.RunStarted,
	}
}

// encode returns the answer as JSON, padded to at least size bytes.
func (a answerBody) encode(size int) ([]byte, error) {
	body, err := json.Marshal(a)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the answer")
	}
	const padField = `,"pad":""`
	missing := size - len(body) - len(padField)
	if missing <= 0 {
		return body, nil
	}
	a.Pad = strings.Repeat("x", missing)
	body, err = json.Marshal(a)
	return body, errors.Wrap(err, "encoding the answer")
}

func writeAnswer(c echo.Context, body []byte) error {
	sum := sha256.Sum256(body)
	c.Response().Header().Set(core.HeaderContentDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body)
}

// refuse answers a request that was not run, and sets the outcome header to not_run.
func refuse(c echo.Context, status int, kind, detail string) error {
	c.Response().Header().Set(core.HeaderOutcome, cassiatally.OutcomeNotRun.String())
	return writeProblem(c, status, kind, detail)
}

func writeProblem(c echo.Context, status int, kind, detail string) error {
	body, err := json.Marshal(problemBody{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Kind: kind,
	})
	if err != nil {
		return errors.Wrap(err, "encoding the problem")
	}
	return c.Blob(status, "application/problem+json", body)
}
