// Package requestreader reads the HTTP requests of callers and backend servers and checks
// them against the limits of the node.
//
// # Usage
//
//	rd := requestreader.Reader{MaxBodyBytes: 1 << 20, DefaultTimeout: time.Second, MaxTimeout: 30 * time.Second}
//	parts, err := rd.Read(c)
package requestreader

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/headers"
)

const (
	maxNameLength = 128
	maxAttempt    = 1 << 15
)

// Reader reads requests. Its fields are set before the first Read.
type Reader struct {
	MaxBodyBytes   int64
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
}

// Parts are the checked parts of a request.
type Parts struct {
	Service cassiatally.Service
	Work    cassiatally.WorkKind
	Tenant  cassiatally.Tenant
	Key     cassiatally.Key
	Attempt uint16
	Timeout time.Duration
	Body    []byte
}

// Read returns the parts of a request, or an error for the client.
func (rd Reader) Read(c echo.Context) (Parts, *cassiatally.Error) {
	h := c.Request().Header
	p := Parts{
		Service: cassiatally.Service(c.Param("service")),
		Work:    cassiatally.WorkKind(c.Param("kind")),
		Tenant:  cassiatally.Tenant(h.Get(headers.Tenant)),
		Key:     cassiatally.Key(h.Get(headers.Key)),
	}
	for _, name := range []string{string(p.Service), string(p.Work), string(p.Tenant), string(p.Key)} {
		if !validName(name) {
			return Parts{}, cassiatally.NewError(cassiatally.KindBadRequest, "%q is not a name: use up to %d letters, digits, '.', '_', '-'", shorten(name), maxNameLength)
		}
	}
	var err *cassiatally.Error
	if p.Attempt, err = parseAttempt(h); err != nil {
		return Parts{}, err
	}
	if p.Timeout, err = rd.parseTimeout(h); err != nil {
		return Parts{}, err
	}
	p.Body, err = rd.readBody(c.Request())
	return p, err
}

func validName(s string) bool {
	if len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		case r == '.', r == '_', r == '-':
		default:
			return false
		}
	}
	return true
}

func shorten(s string) string {
	const maxShown = 40
	if len(s) <= maxShown {
		return s
	}
	return s[:maxShown] + "..."
}

func parseAttempt(h http.Header) (uint16, *cassiatally.Error) {
	v := h.Get(headers.Attempt)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(v, 10, 16)
	if err != nil || n < 1 || n > maxAttempt {
		return 0, cassiatally.NewError(cassiatally.KindBadRequest, "%s must be a number from 1 to %d", headers.Attempt, maxAttempt)
	}
	return uint16(n), nil
}

func (rd Reader) parseTimeout(h http.Header) (time.Duration, *cassiatally.Error) {
	v := h.Get(headers.Timeout)
	if v == "" {
		return rd.DefaultTimeout, nil
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		return 0, cassiatally.NewError(cassiatally.KindBadRequest, "%s must be a positive duration such as 800ms", headers.Timeout)
	}
	return min(d, rd.MaxTimeout), nil
}

func (rd Reader) readBody(r *http.Request) ([]byte, *cassiatally.Error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, rd.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, cassiatally.NewError(cassiatally.KindTooLarge, "the body exceeds %d bytes", rd.MaxBodyBytes)
	case err != nil:
		return nil, cassiatally.NewError(cassiatally.KindBadRequest, "the body could not be read: %v", err)
	}
	return data, nil
}
