package outcomekeeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/outcomekeeper"
)

// Guards against a dropped outcome that leaves no trace once outcomes of too many origins
// were dropped.
func TestDroppedOriginsProveNothing(t *testing.T) {
	is := is.New(t)
	k := &outcomekeeper.Keeper{}
	start := cassiatally.Instant(time.Hour)
	is.True(!k.MayHaveForgotten(cassiatally.CallID{Origin: 1, Seq: 1}))
	for origin := range cassiatally.CallOrigin(5000) {
		k.Keep(cassiatally.Answer{ID: cassiatally.CallID{Origin: origin, Seq: 7}}, start)
		k.Expire(start)
	}
	is.Equal(k.Len(), 0)
	for origin := range cassiatally.CallOrigin(6000) {
		is.True(k.MayHaveForgotten(cassiatally.CallID{Origin: origin, Seq: 7}))
	}
	is.True(!k.MayHaveForgotten(cassiatally.CallID{Origin: 4999, Seq: 8}))
}
