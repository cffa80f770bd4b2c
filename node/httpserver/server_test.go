package httpserver_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/node/httpserver"
)

func start(t *testing.T, routes func(e *echo.Echo)) *httpserver.Server {
	t.Helper()
	s := &httpserver.Server{Listen: "127.0.0.1:0", Clients: "tests", Grace: 30 * time.Second}
	if err := s.Run(routes); err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a Close that aborts a request in flight.
func TestCloseWaitsForRequests(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	s := start(t, func(e *echo.Echo) {
		e.GET("/", func(c echo.Context) error {
			close(started)
			<-release
			return c.String(http.StatusOK, "whole")
		})
	})
	got := make(chan string, 1)
	go func() {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+string(s.Addr()), nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		got <- string(body)
	}()
	<-started
	closed := make(chan struct{})
	go func() {
		s.Close()
		close(closed)
	}()
	select {
	case <-closed:
		t.Fatal("closed while a request was in flight")
	default:
	}
	close(release)
	is.Equal(<-got, "whole")
	<-closed
}

// Guards against an error that does not name the address in use and its clients.
func TestAddressTaken(t *testing.T) {
	is := is.New(t)
	s := start(t, func(*echo.Echo) {})
	t.Cleanup(s.Close)
	second := &httpserver.Server{Listen: s.Addr(), Clients: "operators"}
	err := second.Run(func(*echo.Echo) {})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "listen for operators on "+string(s.Addr())))
}

// Guards against request headers of unbounded size.
func TestHeadersTooLarge(t *testing.T) {
	is := is.New(t)
	s := start(t, func(e *echo.Echo) {
		e.GET("/", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	})
	t.Cleanup(s.Close)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+string(s.Addr()), nil)
	is.NoErr(err)
	req.Header.Set("X-Filler", strings.Repeat("a", 64<<10))
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
