// Package logserver serves the HTTP interface of the platform's log service, with
// a control interface for injecting faults.
//
// # Usage
//
//	s := logserver.New(store, clock)
//	defer s.Close()
//	web := &httpserver.Server{Listen: "127.0.0.1:0", Handler: s.Handler()}
//
// Modes: down answers 503, slow answers after a delay, lose_answers closes the
// connection after it has stored an append, hang never answers an append that it
// has stored. Reads work in the last two modes, so that a client can find out
// whether its append was stored.
package logserver

import (
	"context"
	"encoding/base64"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/httpserver"
	"github.com/cassiatally/cassiatally/standin/logstore"
	"github.com/cassiatally/cassiatally/standin/owner"
)

const (
	// inboxCapacity bounds the queued operations on the store.
	inboxCapacity = 1024
	// defaultBatchRecords and maxBatchRecords bound the records of one answer.
	defaultBatchRecords = 100
	maxBatchRecords     = 1000
	// maxPollWait bounds the wait of a long poll.
	maxPollWait = time.Minute
)

// Mode selects the fault of the log service.
type Mode string

// The modes of the log service.
const (
	ModeUp          Mode = "up"
	ModeDown        Mode = "down"
	ModeSlow        Mode = "slow"
	ModeLoseAnswers Mode = "lose_answers"
	ModeHang        Mode = "hang"
)

// Valid reports whether the mode is defined.
func (m Mode) Valid() bool {
	switch m {
	case ModeUp, ModeDown, ModeSlow, ModeLoseAnswers, ModeHang:
		return true
	}
	return false
}

// Server is the HTTP server of the log service.
type Server struct {
	clock cassiatally.Clock
	owner *owner.Owner[state]
}

// state is owned by the duty of the server.
type state struct {
	store    *logstore.Store
	mode     Mode
	delay    time.Duration
	counters counters
}

type counters struct {
	Appends     uint64 `json:"appends"`
	TooFast     uint64 `json:"too_fast"`
	Refused     uint64 `json:"refused"`
	Reads       uint64 `json:"reads"`
	LostAnswers uint64 `json:"lost_answers"`
	Hung        uint64 `json:"hung"`
}

type controlBody struct {
	Mode     Mode      `json:"mode"`
	Delay    string    `json:"delay"`
	Counters *counters `json:"counters,omitempty"`
}

type appendAnswer struct {
	Offset cassiatally.Offset `json:"offset"`
}

type readAnswer struct {
	First   cassiatally.Offset `json:"first"`
	Next    cassiatally.Offset `json:"next"`
	Records []readRecord       `json:"records"`
}

type readRecord struct {
	Offset  cassiatally.Offset `json:"offset"`
	Expires string             `json:"expires"`
	Data    string             `json:"data"`
}

type readQuery struct {
	stream cassiatally.Stream
	from   cassiatally.Offset
	limit  int
	wait   time.Duration
}

// New returns a server that takes ownership of the store.
func New(store *logstore.Store, clock cassiatally.Clock) *Server {
	s := &state{store: store, mode: ModeUp}
	return &Server{clock: clock, owner: owner.New(s, inboxCapacity)}
}

// Close stops the duty that owns the store and waits for it.
func (s *Server) Close() { s.owner.Close() }

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	e := httpserver.NewEcho()
	e.POST("/v1/streams/:stream/records", s.handleAppend)
	e.GET("/v1/streams/:stream/records", s.handleRead)
	e.GET("/v1/control", s.handleStatus)
	e.PUT("/v1/control", s.handleControl)
	return e
}

func (s *Server) handleAppend(c echo.Context) error {
	data, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return errors.Wrap(err, "reading the record")
	}
	ctx := c.Request().Context()
	if err := s.applyFault(ctx); err != nil {
		return err
	}
	var offset cassiatally.Offset
	var mode Mode
	var errAppend error
	err = s.owner.Do(ctx, func(st *state) {
		mode = st.mode
		offset, errAppend = st.append(s.clock.Now(), cassiatally.Stream(c.Param("stream")), data)
	})
	switch {
	case err != nil:
		return unavailable(err)
	case errors.Is(errAppend, logstore.ErrTooFast):
		c.Response().Header().Set("Retry-After", "1")
		return echo.NewHTTPError(http.StatusTooManyRequests, errAppend.Error())
	case errAppend != nil:
		return echo.NewHTTPError(http.StatusInsufficientStorage, errAppend.Error())
	case mode == ModeLoseAnswers:
		panic(http.ErrAbortHandler)
	case mode == ModeHang:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusCreated, appendAnswer{Offset: offset})
}

func (st *state) append(now cassiatally.Instant, name cassiatally.Stream, data []byte) (cassiatally.Offset, error) {
	offset, err := st.store.Append(now, name, data)
	switch {
	case errors.Is(err, logstore.ErrTooFast):
		st.counters.TooFast++
	case err != nil:
		st.counters.Refused++
	default:
		st.counters.Appends++
		st.countLostAnswer()
	}
	return offset, err
}

func (st *state) countLostAnswer() {
	switch st.mode {
	case ModeLoseAnswers:
		st.counters.LostAnswers++
	case ModeHang:
		st.counters.Hung++
	}
}

func (s *Server) handleRead(c echo.Context) error {
	q, err := parseRead(c)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	ctx := c.Request().Context()
	if err := s.applyFault(ctx); err != nil {
		return err
	}
	batch, err := s.readOrWait(ctx, q)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, encodeBatch(batch))
}

// readOrWait reads a batch. When there is no record, it waits up to q.wait for one,
// on the channel that the store closes.
func (s *Server) readOrWait(ctx context.Context, q readQuery) (cassiatally.Batch, error) {
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	for last := q.wait <= 0; ; {
		var batch cassiatally.Batch
		var changed <-chan struct{}
		var mode Mode
		err := s.owner.Do(ctx, func(st *state) {
			mode = st.mode
			st.counters.Reads++
			batch, changed = st.store.Read(s.clock.Now(), q.stream, q.from, q.limit)
		})
		if err != nil || mode == ModeDown {
			return batch, unavailable(err)
		}
		if last || len(batch.Records) > 0 {
			return batch, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-ctx.Done():
			return batch, unavailable(ctx.Err())
		}
	}
}

// applyFault returns a 503 error in ModeDown, and waits for the delay in ModeSlow.
func (s *Server) applyFault(ctx context.Context) error {
	var mode Mode
	var delay time.Duration
	err := s.owner.Do(ctx, func(st *state) {
		mode, delay = st.mode, st.delay
		if mode == ModeDown {
			st.counters.Refused++
		}
	})
	switch {
	case err != nil || mode == ModeDown:
		return unavailable(err)
	case mode != ModeSlow:
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return unavailable(ctx.Err())
	}
}

func (s *Server) handleStatus(c echo.Context) error {
	var answer controlBody
	err := s.owner.Do(c.Request().Context(), func(st *state) {
		copied := st.counters
		answer = controlBody{Mode: st.mode, Delay: st.delay.String(), Counters: &copied}
	})
	if err != nil {
		return unavailable(err)
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) handleControl(c echo.Context) error {
	var body controlBody
	if err := httpserver.DecodeJSON(c, &body); err != nil {
		return err
	}
	if !body.Mode.Valid() {
		return echo.NewHTTPError(http.StatusBadRequest, "mode is not one of up, down, slow, lose_answers, hang")
	}
	delay, err := time.ParseDuration(zeroIfEmpty(body.Delay))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "delay is not a duration such as 2s")
	}
	err = s.owner.Do(c.Request().Context(), func(st *state) {
		st.mode, st.delay = body.Mode, delay
		st.store.WakeReaders()
	})
	if err != nil {
		return unavailable(err)
	}
	return s.handleStatus(c)
}

func parseRead(c echo.Context) (readQuery, error) {
	q := readQuery{stream: cassiatally.Stream(c.Param("stream")), limit: defaultBatchRecords}
	if v := c.QueryParam("from"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return q, errors.New("from is not an offset")
		}
		q.from = cassiatally.Offset(n)
	}
	if v := c.QueryParam("max"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 {
			return q, errors.New("max is not a positive number")
		}
		q.limit = min(n, maxBatchRecords)
	}
	wait, err := time.ParseDuration(zeroIfEmpty(c.QueryParam("wait")))
	if err != nil {
		return q, errors.New("wait is not a duration such as 2s")
	}
	q.wait = min(wait, maxPollWait)
	return q, nil
}

func encodeBatch(b cassiatally.Batch) readAnswer {
	answer := readAnswer{First: b.Oldest, Next: b.Next, Records: make([]readRecord, 0, len(b.Records))}
	for _, r := range b.Records {
		answer.Records = append(answer.Records, readRecord{
			Offset:  r.Offset,
			Expires: r.Expires.String(),
			Data:    base64.StdEncoding.EncodeToString(r.Data),
		})
	}
	return answer
}

func zeroIfEmpty(s string) string {
	if s == "" {
		return "0s"
	}
	return s
}

func unavailable(cause error) error {
	return echo.NewHTTPError(http.StatusServiceUnavailable, "the log service is down").SetInternal(cause)
}
