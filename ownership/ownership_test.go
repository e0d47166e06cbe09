package ownership

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

var shard0 = Key{Service: "proofs", Shard: 0}

func newTestTable() *Table {
	t := NewTable()
	t.AddService("proofs", 4, 0)
	return t
}

func TestShardHasOneOwner(t *testing.T) {
	is := is.New(t)
	owners := newTestTable()
	is.NoErr(owners.Assign(shard0, 0, 1, 1))
	is.True(owners.Assign(shard0, 1, 2, 2) != nil) // not free
	shard, _ := owners.Get(shard0)
	is.Equal(shard, Shard{Owner: 1, Epoch: 1, Phase: PhaseGranted})
}

func TestDecisionOnAnOldEpochIsRefused(t *testing.T) {
	is := is.New(t)
	owners := newTestTable()
	is.NoErr(owners.Assign(shard0, 0, 1, 1))
	_, err := owners.Release(shard0, 1, 1, "")
	is.NoErr(err)
	is.True(owners.Assign(shard0, 0, 1, 2) != nil)
	is.NoErr(owners.Assign(shard0, 1, 2, 2))
}

func TestLateReleaseFreesNothing(t *testing.T) {
	is := is.New(t)
	owners := newTestTable()
	is.NoErr(owners.Assign(shard0, 0, 1, 1))
	_, err := owners.Release(shard0, 1, 1, "")
	is.NoErr(err)
	is.NoErr(owners.Assign(shard0, 1, 2, 1)) // the same session again, under epoch 2
	_, err = owners.Release(shard0, 1, 1, "")
	is.True(err != nil) // a release under epoch 1
	_, err = owners.Release(shard0, 2, 9, "")
	is.True(err != nil) // a release by another session
	shard, _ := owners.Get(shard0)
	is.Equal(shard.Owner, owners.Shards["proofs"][0].Owner)
	is.Equal(shard.Phase, PhaseGranted)
}

func TestTransferNamesTheTargetAtTheRelease(t *testing.T) {
	is := is.New(t)
	owners := newTestTable()
	is.NoErr(owners.Assign(shard0, 0, 1, 1))
	is.NoErr(owners.BeginTransfer(shard0, 1, 2))
	is.Equal(owners.OwnedCount(1), 1) // the source owns the shard until it releases it
	target, err := owners.Release(shard0, 1, 1, "")
	is.NoErr(err)
	is.Equal(int(target), 2)
}

func TestClosedSessionOwnsNothing(t *testing.T) {
	is := is.New(t)
	owners := newTestTable()
	is.NoErr(owners.Assign(shard0, 0, 1, 1))
	is.NoErr(owners.Assign(Key{"proofs", 1}, 0, 1, 1))
	is.Equal(len(owners.CloseSession(1)), 2)
	is.Equal(owners.OwnedCount(1), 0)
	is.NoErr(owners.Assign(shard0, 1, 2, 2)) // the epoch keeps rising
}

func TestIndexOfFreeShardsFollowsEveryStep(t *testing.T) {
	is := is.New(t)
	owners := newTestTable()
	check := func() {
		t.Helper()
		kept := len(owners.Free())
		owners.Reindex()
		is.Equal(len(owners.Free()), kept)
	}
	is.Equal(len(owners.Free()), 4)
	is.NoErr(owners.Assign(shard0, 0, 1, 1))
	is.NoErr(owners.Assign(Key{"proofs", 1}, 0, 1, 2))
	check()
	_, err := owners.Release(shard0, 1, 1, "")
	is.NoErr(err)
	check()
	owners.CloseSession(2)
	check()
	is.Equal(len(owners.Free()), 4)
	is.True(owners.RemoveService("proofs"))
	check()
	is.Equal(len(owners.Free()), 0)
}

func TestServiceWithOwnersIsNotRemoved(t *testing.T) {
	is := is.New(t)
	owners := newTestTable()
	is.NoErr(owners.Assign(shard0, 0, 1, 1))
	is.Equal(owners.RemoveService("proofs"), false)
	owners.CloseSession(1)
	is.True(owners.RemoveService("proofs"))
}

func TestKeysSpreadOverShards(t *testing.T) {
	is := is.New(t)
	counts := make([]int, 16)
	for i := range 16_000 {
		counts[ShardOf([]byte(fmt.Sprintf("class-%d", i)), len(counts))]++
	}
	for _, count := range counts {
		is.True(count > 800 && count < 1200)
	}
}

// Shards that are assigned together share an epoch. An epoch may skip numbers but must rise.
func TestEpochMayJumpButNotStay(t *testing.T) {
	is := is.New(t)
	owners := newTestTable()
	is.True(owners.Assign(shard0, 0, 0, 1) != nil)
	is.NoErr(owners.Assign(shard0, 0, 7, 1))
	shard, _ := owners.Get(shard0)
	is.Equal(shard.Epoch, uint64(7))
}
