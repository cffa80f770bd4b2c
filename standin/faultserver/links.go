package faultserver

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/frameproxy"
	"github.com/cassiatally/cassiatally/standin/httpserver"
)

// linkChangeBody has the fields of frameproxy.Change in the same order, so that one
// converts to the other.
type linkChangeBody struct {
	Answers   frameproxy.Mode      `json:"answers"`
	HoldSheet bool                 `json:"hold_sheet"`
	Direction frameproxy.Direction `json:"direction"`
	Peer      cassiatally.NodeID   `json:"peer"`
	Target    cassiatally.Address  `json:"target"`
}

type linkBody struct {
	Name   RouteName           `json:"name"`
	Listen cassiatally.Address `json:"listen"`
	Target cassiatally.Address `json:"target"`
	Links  int                 `json:"links"`
	Mixed  uint64              `json:"mixed"`
}

func (s *Server) handleAddLink(c echo.Context) error {
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
	p := &frameproxy.Proxy{Listen: body.Listen, Target: body.Target}
	if err := p.Start(ctx); err != nil {
		return httpError(err)
	}
	var taken bool
	err := s.owner.Do(ctx, func(st *state) {
		_, taken = st.links[body.Name]
		if !taken {
			st.links[body.Name] = p
		}
	})
	if taken {
		err = ErrNameTaken
	}
	if err != nil {
		p.Close()
		return httpError(err)
	}
	return s.answerLink(c, http.StatusCreated, body.Name, p)
}

func (s *Server) handleLinkStatus(c echo.Context) error {
	name := RouteName(c.Param("name"))
	p, err := s.findLink(c.Request().Context(), name)
	if err != nil {
		return httpError(err)
	}
	return s.answerLink(c, http.StatusOK, name, p)
}

func (s *Server) handleChangeLink(c echo.Context) error {
	var body linkChangeBody
	if err := httpserver.DecodeJSON(c, &body); err != nil {
		return err
	}
	switch {
	case body.Answers != "" && !body.Answers.Valid():
		return echo.NewHTTPError(http.StatusBadRequest, "answers is not one of pass, double, late, cross, swap")
	case !body.Direction.Valid():
		return echo.NewHTTPError(http.StatusBadRequest, "direction is not one of up, down")
	}
	ctx, name := c.Request().Context(), RouteName(c.Param("name"))
	p, err := s.findLink(ctx, name)
	if err != nil {
		return httpError(err)
	}
	if err := p.Apply(ctx, frameproxy.Change(body)); err != nil {
		return httpError(err)
	}
	return s.answerLink(c, http.StatusOK, name, p)
}

func (s *Server) findLink(ctx context.Context, name RouteName) (*frameproxy.Proxy, error) {
	var found *frameproxy.Proxy
	err := s.owner.Do(ctx, func(st *state) { found = st.links[name] })
	if err != nil {
		return nil, err
	}
	if found == nil {
		return nil, ErrNoRoute
	}
	return found, nil
}

func (s *Server) answerLink(c echo.Context, status int, name RouteName, p *frameproxy.Proxy) error {
	st, err := p.Status(c.Request().Context())
	if err != nil {
		return httpError(err)
	}
	return c.JSON(status, linkBody{Name: name, Listen: p.Address(), Target: st.Target, Links: st.Links, Mixed: st.Mixed})
}
