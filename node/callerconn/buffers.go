package callerconn

import (
	"slices"
	"sync"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// bodySizes are the sizes of the buffers in which bodies are received. A body moves to the
// next one when its buffer is full. A client that announces a long body and sends little
// thus holds little.
var bodySizes = [...]int{32 << 10, 128 << 10, 512 << 10, cassiatally.MaxBodyBytes, cassiatally.MaxBodyBytes + 1}

// bodyBuffers has buffers of bodies that were not run, to be used again. While a crowd is
// being turned away, the collector could not keep up with new ones on a busy machine. The
// buffer of a request that was run may still be in use after its answer.
var bodyBuffers [len(bodySizes)]sync.Pool

// nextBodySize returns the size of the buffer that follows one of size n.
func nextBodySize(n int) int {
	for _, size := range bodySizes {
		if size > n {
			return size
		}
	}
	return n
}

// takeBodyBuffer returns an empty buffer of one of the sizes.
func takeBodyBuffer(size int) []byte {
	if b, ok := bodyBuffers[slices.Index(bodySizes[:], size)].Get().(*[]byte); ok {
		return (*b)[:0]
	}
	return make([]byte, 0, size)
}

// returnBodyBuffer returns a buffer that nothing refers to any more.
func returnBodyBuffer(b []byte) {
	if i := slices.Index(bodySizes[:], cap(b)); i >= 0 {
		bodyBuffers[i].Put(&b)
	}
}
