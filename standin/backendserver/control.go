package backendserver

import (
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/httpserver"
)

// FalseAnnouncement replaces the actual values in announcements. Fields that are
// zero keep the actual value.
type FalseAnnouncement struct {
	Slots       cassiatally.Concurrency `json:"slots"`
	Connections cassiatally.Concurrency `json:"connections"`
}

type controlBody struct {
	ServiceTime       string             `json:"service_time"`
	State             string             `json:"state"`
	FailRate          *float64           `json:"fail_rate"`
	FalseAnnouncement *FalseAnnouncement `json:"lie"`
}

type statusBody struct {
	ServiceTime     string                  `json:"service_time"`
	State           string                  `json:"state"`
	FailRate        float64                 `json:"fail_rate"`
	Running         cassiatally.Concurrency `json:"running"`
	Pending         cassiatally.Concurrency `json:"pending"`
	Connections     int64                   `json:"connections"`
	PeakConnections int64                   `json:"peak_connections"`
	Counters        counters                `json:"counters"`
}

type recordsBody struct {
	Runs []core.Run `json:"runs"`
}

// ConnState counts open connections; it is the ConnState callback of the HTTP
// server.
func (s *Server) ConnState(_ net.Conn, cs http.ConnState) {
	switch cs {
	case http.StateNew:
		open := s.connections.Add(1)
		for peak := s.peakConnections.Load(); open > peak; peak = s.peakConnections.Load() {
			if s.peakConnections.CompareAndSwap(peak, open) {
				return
			}
		}
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	}
}

func (s *Server) handleControl(c echo.Context) error {
	var body controlBody
	if err := httpserver.DecodeJSON(c, &body); err != nil {
		return err
	}
	if err := body.check(); err != nil {
		return err
	}
	ctx := c.Request().Context()
	err := s.owner.Do(ctx, func(st *state) { body.apply(st) })
	if err != nil {
		return err
	}
	if body.FalseAnnouncement != nil && s.SetFalseAnnouncement != nil {
		s.SetFalseAnnouncement(ctx, *body.FalseAnnouncement)
	}
	switch body.State {
	case cassiatally.EndpointDraining.String():
		s.Lifecycle.Drain(ctx)
	case cassiatally.EndpointReady.String():
		s.Lifecycle.MarkReady(ctx)
	}
	return s.handleStatus(c)
}

func (b controlBody) check() error {
	if b.ServiceTime != "" {
		if d, err := time.ParseDuration(b.ServiceTime); err != nil || d < 0 {
			return echo.NewHTTPError(http.StatusBadRequest, "service_time is not a duration such as 20ms")
		}
	}
	if b.FailRate != nil && (*b.FailRate < 0 || *b.FailRate > 1) {
		return echo.NewHTTPError(http.StatusBadRequest, "fail_rate is not between 0 and 1")
	}
	switch b.State {
	case "", cassiatally.EndpointDraining.String(), cassiatally.EndpointReady.String():
		return nil
	}
	return echo.NewHTTPError(http.StatusBadRequest, "state is not ready or draining")
}

func (b controlBody) apply(st *state) {
	if b.ServiceTime != "" {
		st.serviceTime, _ = time.ParseDuration(b.ServiceTime)
	}
	if b.FailRate != nil {
		st.failRate = *b.FailRate
	}
	if b.State != "" {
		st.draining = b.State == cassiatally.EndpointDraining.String()
	}
}

func (s *Server) handleStatus(c echo.Context) error {
	answer := statusBody{
		State: cassiatally.EndpointReady.String(), Running: s.Queue.Running(), Pending: s.Queue.Pending(),
		Connections: s.connections.Load(), PeakConnections: s.peakConnections.Load(),
	}
	err := s.owner.Do(c.Request().Context(), func(st *state) {
		answer.ServiceTime, answer.FailRate, answer.Counters = st.serviceTime.String(), st.failRate, st.counters
		if st.draining {
			answer.State = cassiatally.EndpointDraining.String()
		}
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) handleRecords(c echo.Context) error {
	answer := recordsBody{Runs: []core.Run{}}
	err := s.owner.Do(c.Request().Context(), func(st *state) {
		answer.Runs = append(answer.Runs, st.records...)
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, answer)
}
