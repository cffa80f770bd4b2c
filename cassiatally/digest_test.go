package cassiatally_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Guards against the digest of a key in a log line or an error text, whatever verb or
// surrounding value it is printed with.
func TestKeyDigestIsHidden(t *testing.T) {
	is := is.New(t)
	d := cassiatally.KeyDigestOf("key")
	spec := cassiatally.TenantSpec{Name: "acme", Keys: []cassiatally.KeyDigest{d}}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%X", "%d"} {
		for _, value := range []any{d, &d, spec} {
			text := fmt.Sprintf(verb, value)
			for _, digest := range []string{fmt.Sprintf("%x", d[:]), fmt.Sprintf("%X", d[:]), fmt.Sprintf("%d", d[:]), fmt.Sprintf("%d %d", d[0], d[1]), fmt.Sprintf("0x%x, 0x%x", d[0], d[1])} {
				is.True(!strings.Contains(text, digest))
			}
		}
	}
}
