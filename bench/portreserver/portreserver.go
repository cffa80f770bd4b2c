// Package portreserver gets free ports from the kernel for processes that have
// to know the addresses of each other before they start.
//
// # Usage
//
//	ports, err := portreserver.Reserver{}.Reserve(ctx, 16)
package portreserver

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Reserver reserves ports on loopback.
type Reserver struct{}

// Reserve returns n free addresses. All of them are open at one time, so they
// differ; they are free again on return, so another program could take one.
func (Reserver) Reserve(ctx context.Context, n int) (addresses []cassiatally.Address, err error) {
	var listening net.ListenConfig
	for range n {
		l, errListen := listening.Listen(ctx, "tcp", "127.0.0.1:0")
		if errListen != nil {
			return nil, errors.Wrap(errListen, "reserving a port")
		}
		defer func() { err = errors.CombineErrors(err, l.Close()) }()
		addresses = append(addresses, cassiatally.Address(l.Addr().String()))
	}
	return addresses, nil
}
