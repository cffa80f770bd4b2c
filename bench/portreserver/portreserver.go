// Package portreserver gets free ports from the kernel for processes that need each
// other's addresses before they start.
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

// Reserve returns n free addresses. They are distinct, since all of them are open
// at the same time. They are closed again on return, so another program can take
// one before it is used.
func (Reserver) Reserve(ctx context.Context, n int) (addresses []cassiatally.Address, err error) {
	var config net.ListenConfig
	for range n {
		l, errListen := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if errListen != nil {
			return nil, errors.Wrap(errListen, "reserving a port")
		}
		defer func() { err = errors.CombineErrors(err, l.Close()) }()
		addresses = append(addresses, cassiatally.Address(l.Addr().String()))
	}
	return addresses, nil
}
