// Package faultserver controls fault proxies over HTTP: routes, which forward TCP
// connections, and links, which forward the frames between nodes.
//
// # Usage
//
//	s := faultserver.New()
//	defer s.Close(ctx)
//	address, err := s.AddRoute(ctx, "a-to-b", "127.0.0.1:0", "127.0.0.1:7001")
//	web := &httpserver.Server{Listen: "127.0.0.1:0", Handler: s.Handler()}
package faultserver

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/faultproxy"
	"github.com/cassiatally/cassiatally/standin/frameproxy"
	"github.com/cassiatally/cassiatally/standin/httpserver"
	"github.com/cassiatally/cassiatally/standin/owner"
)

const inboxCapacity = 256

var (
	// ErrNameTaken is returned when a route or link of the name exists.
	ErrNameTaken = errors.New("there is a route of this name")
	// ErrNoRoute is returned when no route or link of the name exists.
	ErrNoRoute = errors.New("there is no route of this name")
)

// RouteName names a route or a link.
type RouteName string

// Server owns and controls the proxies of one process.
type Server struct {
	owner *owner.Owner[state]
}

// state is owned by the duty of the server.
type state struct {
	routes map[RouteName]*faultproxy.Proxy
	links  map[RouteName]*frameproxy.Proxy
}

type addBody struct {
	Name   RouteName           `json:"name"`
	Listen string              `json:"listen"`
	Target cassiatally.Address `json:"target"`
}

type routeChangeBody struct {
	Mode         faultproxy.Mode `json:"mode"`
	Delay        *string         `json:"delay"`
	ExistingOnly bool            `json:"existing_only"`
	// See faultproxy.Change for the following fields.
	CutDownAfterBytes *int64              `json:"cut_down"`
	Matching          string              `json:"matching"`
	Target            cassiatally.Address `json:"target"`
}

type routeBody struct {
	Name        RouteName           `json:"name"`
	Listen      cassiatally.Address `json:"listen"`
	Target      cassiatally.Address `json:"target"`
	Mode        faultproxy.Mode     `json:"mode"`
	Delay       string              `json:"delay"`
	Connections int                 `json:"connections"`
	Accepted    uint64              `json:"accepted"`
	Refused     uint64              `json:"refused"`
	BytesUp     uint64              `json:"bytes_up"`
	BytesDown   uint64              `json:"bytes_down"`
}

type routesBody struct {
	Routes []routeBody `json:"routes"`
}

// New returns a server without routes and links.
func New() *Server {
	return &Server{owner: owner.New(&state{
		routes: make(map[RouteName]*faultproxy.Proxy),
		links:  make(map[RouteName]*frameproxy.Proxy),
	}, inboxCapacity)}
}

// Close closes all routes and links and waits for their duties. It also works after
// ctx has ended.
func (s *Server) Close(ctx context.Context) {
	var closers []interface{ Close() }
	_ = s.owner.Do(context.WithoutCancel(ctx), func(st *state) {
		for name, p := range st.routes {
			closers = append(closers, p)
			delete(st.routes, name)
		}
		for name, p := range st.links {
			closers = append(closers, p)
			delete(st.links, name)
		}
	})
	s.owner.Close()
	for _, c := range closers {
		c.Close()
	}
}

// AddRoute starts the proxy of a new route and returns the address on which it
// listens.
func (s *Server) AddRoute(ctx context.Context, name RouteName, listen string, target cassiatally.Address) (cassiatally.Address, error) {
	p := &faultproxy.Proxy{Listen: listen, Target: target}
	if err := p.Start(ctx); err != nil {
		return "", err
	}
	var taken bool
	err := s.owner.Do(ctx, func(st *state) {
		_, taken = st.routes[name]
		if !taken {
			st.routes[name] = p
		}
	})
	if taken {
		err = ErrNameTaken
	}
	if err != nil {
		p.Close()
		return "", err
	}
	return p.Address(), nil
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	e := httpserver.NewEcho()
	e.GET("/v1/routes", s.handleList)
	e.POST("/v1/routes", s.handleAdd)
	e.PUT("/v1/routes/:name", s.handleChange)
	e.DELETE("/v1/routes/:name", s.handleRemove)
	e.POST("/v1/links", s.handleAddLink)
	e.GET("/v1/links/:name", s.handleLinkStatus)
	e.PUT("/v1/links/:name", s.handleChangeLink)
	return e
}

func (s *Server) findRoute(ctx context.Context, name RouteName, remove bool) (*faultproxy.Proxy, error) {
	var found *faultproxy.Proxy
	err := s.owner.Do(ctx, func(st *state) {
		found = st.routes[name]
		if remove {
			delete(st.routes, name)
		}
	})
	if err != nil {
		return nil, err
	}
	if found == nil {
		return nil, ErrNoRoute
	}
	return found, nil
}

func (s *Server) handleList(c echo.Context) error {
	ctx := c.Request().Context()
	routes := make(map[RouteName]*faultproxy.Proxy)
	err := s.owner.Do(ctx, func(st *state) {
		for name, p := range st.routes {
			routes[name] = p
		}
	})
	if err != nil {
		return httpError(err)
	}
	body := routesBody{Routes: []routeBody{}}
	for name, p := range routes {
		route, err := describeRoute(ctx, name, p)
		if err != nil {
			return httpError(err)
		}
		body.Routes = append(body.Routes, route)
	}
	slices.SortFunc(body.Routes, func(x, y routeBody) int { return strings.Compare(string(x.Name), string(y.Name)) })
	return c.JSON(http.StatusOK, body)
}

func (s *Server) handleAdd(c echo.Context) error {
	var body addBody
	if err := httpserver.DecodeJSON(c, &body); err != nil {
		return err
	}
	if body.Name == "" || body.Target == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "name and target are needed")
	}
	if body.Listen == "" {
		body.Listen = "127.0.0.1:0"
	}
	ctx := c.Request().Context()
	if _, err := s.AddRoute(ctx, body.Name, body.Listen, body.Target); err != nil {
		return httpError(err)
	}
	return s.answerRoute(c, http.StatusCreated, body.Name)
}

func (s *Server) handleChange(c echo.Context) error {
	var body routeChangeBody
	if err := httpserver.DecodeJSON(c, &body); err != nil {
		return err
	}
	change, err := body.decode()
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	ctx, name := c.Request().Context(), RouteName(c.Param("name"))
	p, err := s.findRoute(ctx, name, false)
	if err != nil {
		return httpError(err)
	}
	if err := p.Apply(ctx, change); err != nil {
		return httpError(err)
	}
	return s.answerRoute(c, http.StatusOK, name)
}

func (s *Server) handleRemove(c echo.Context) error {
	p, err := s.findRoute(c.Request().Context(), RouteName(c.Param("name")), true)
	if err != nil {
		return httpError(err)
	}
	p.Close()
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) answerRoute(c echo.Context, status int, name RouteName) error {
	ctx := c.Request().Context()
	p, err := s.findRoute(ctx, name, false)
	if err != nil {
		return httpError(err)
	}
	body, err := describeRoute(ctx, name, p)
	if err != nil {
		return httpError(err)
	}
	return c.JSON(status, body)
}

func (b routeChangeBody) decode() (faultproxy.Change, error) {
	change := faultproxy.Change{Mode: b.Mode, ExistingOnly: b.ExistingOnly, CutDownAfterBytes: b.CutDownAfterBytes, Matching: b.Matching, Target: b.Target}
	if b.Mode != "" && !b.Mode.Valid() {
		return change, errors.New("mode is not one of pass, cut, silent, one_way_up, one_way_down, refuse")
	}
	if b.Delay != nil {
		d, err := time.ParseDuration(*b.Delay)
		if err != nil || d < 0 {
			return change, errors.New("delay is not a duration such as 1ms")
		}
		change.Delay = &d
	}
	return change, nil
}

func describeRoute(ctx context.Context, name RouteName, p *faultproxy.Proxy) (routeBody, error) {
	status, err := p.Status(ctx)
	return routeBody{
		Name: name, Listen: p.Address(), Target: status.Target, Mode: status.Mode, Delay: status.Delay.String(),
		Connections: status.Connections, Accepted: status.Accepted, Refused: status.Refused,
		BytesUp: status.BytesUp, BytesDown: status.BytesDown,
	}, err
}

func httpError(err error) error {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, ErrNoRoute):
		status = http.StatusNotFound
	case errors.Is(err, ErrNameTaken):
		status = http.StatusConflict
	}
	return echo.NewHTTPError(status, err.Error())
}
