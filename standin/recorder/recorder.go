// Package recorder stores the runs of all backend servers and the results
// reported to callers, and serves them over HTTP. It includes the client of that
// interface.
//
// # Usage
//
//	s := recorder.New(recordbook.New(recordbook.DefaultCapacity))
//	defer s.Close()
//	web := &httpserver.Server{Listen: "127.0.0.1:0", Handler: s.Handler()}
//
//	c := &recorder.Client{URL: "http://127.0.0.1:7100", HTTP: http.DefaultClient}
//	err := c.Record(ctx, run)
package recorder

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/httpserver"
	"github.com/cassiatally/cassiatally/standin/owner"
	"github.com/cassiatally/cassiatally/standin/recordbook"
)

const (
	inboxCapacity = 4096
	runsPath      = "/v1/runs"
	resultsPath   = "/v1/told"
)

// Server is the HTTP server of the recorder.
type Server struct {
	owner *owner.Owner[recordbook.Book]
}

type runsBody struct {
	Runs []core.Run `json:"runs"`
}

type resultsBody struct {
	Results []core.ReportedResult `json:"told"`
}

type summaryBody struct {
	Runs            int                   `json:"runs"`
	ReportedResults int                   `json:"told"`
	States          map[core.RunState]int `json:"states"`
	Doubles         int                   `json:"doubles"`
	Groups          []groupBody           `json:"groups"`
}

type groupBody struct {
	Root    core.Root            `json:"root"`
	Service cassiatally.Service  `json:"service"`
	Kind    cassiatally.WorkKind `json:"kind"`
	Runs    int                  `json:"runs"`
}

// New returns a recorder that takes ownership of the book.
func New(b *recordbook.Book) *Server {
	return &Server{owner: owner.New(b, inboxCapacity)}
}

// Close stops the duty that owns the book and waits for it.
func (s *Server) Close() { s.owner.Close() }

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	e := httpserver.NewEcho()
	e.POST(runsPath, s.handleAddRun)
	e.GET(runsPath, s.handleListRuns)
	e.POST(resultsPath, s.handleAddResults)
	e.GET(resultsPath, s.handleListResults)
	e.GET("/v1/summary", s.handleSummary)
	return e
}

func (s *Server) handleAddRun(c echo.Context) error {
	var run core.Run
	if err := httpserver.DecodeJSON(c, &run); err != nil {
		return err
	}
	if run.Record == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "record is missing")
	}
	return s.addToBook(c, func(b *recordbook.Book) error { return b.AddRun(run) })
}

// handleAddResults accepts a single result, or several under the field told.
func (s *Server) handleAddResults(c echo.Context) error {
	var body struct {
		core.ReportedResult
		resultsBody
	}
	if err := httpserver.DecodeJSON(c, &body); err != nil {
		return err
	}
	results := body.Results
	if len(results) == 0 {
		results = []core.ReportedResult{body.ReportedResult}
	}
	for _, r := range results {
		if r.ID == "" {
			return echo.NewHTTPError(http.StatusBadRequest, "id is missing")
		}
	}
	return s.addToBook(c, func(b *recordbook.Book) error { return b.AddResults(results) })
}

func (s *Server) addToBook(c echo.Context, apply func(*recordbook.Book) error) error {
	var errAdd error
	err := s.owner.Do(c.Request().Context(), func(b *recordbook.Book) { errAdd = apply(b) })
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	if errors.Is(errAdd, recordbook.ErrFull) {
		return echo.NewHTTPError(http.StatusInsufficientStorage, errAdd.Error())
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) handleListRuns(c echo.Context) error {
	var body runsBody
	err := s.owner.Do(c.Request().Context(), func(b *recordbook.Book) { body.Runs = b.Runs() })
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusOK, body)
}

func (s *Server) handleListResults(c echo.Context) error {
	var body resultsBody
	err := s.owner.Do(c.Request().Context(), func(b *recordbook.Book) { body.Results = b.Results() })
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusOK, body)
}

func (s *Server) handleSummary(c echo.Context) error {
	minRuns := 1
	if v := c.QueryParam("min_runs"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "min_runs is not a number")
		}
		minRuns = n
	}
	var sum recordbook.Summary
	err := s.owner.Do(c.Request().Context(), func(b *recordbook.Book) { sum = b.Summarise(minRuns) })
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusOK, encodeSummary(sum))
}

func encodeSummary(s recordbook.Summary) summaryBody {
	body := summaryBody{Runs: s.Runs, ReportedResults: s.ReportedResults, States: s.States, Doubles: s.Doubles, Groups: make([]groupBody, 0, len(s.Groups))}
	for _, g := range s.Groups {
		body.Groups = append(body.Groups, groupBody(g))
	}
	return body
}
