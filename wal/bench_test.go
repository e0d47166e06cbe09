package wal

import (
	"fmt"
	"testing"

	"limehold/consensus"
)

// BenchmarkAppend measures one synced batch. The disk dominates the time.
func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("%d entries", batch), func(b *testing.B) {
			log, _, err := Open(Options{Folder: b.TempDir()})
			if err != nil {
				b.Fatal(err)
			}
			defer log.Close()
			entries := make([]consensus.Entry, batch)
			index := uint64(0)
			for b.Loop() {
				for i := range entries {
					index++
					entries[i] = consensus.Entry{Term: 1, Index: index, Data: make([]byte, 200)}
				}
				if err := log.Append(nil, entries); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRecovery measures opening a log with a number of entries.
func BenchmarkRecovery(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("%d entries", count), func(b *testing.B) {
			folder := b.TempDir()
			log, _, err := Open(Options{Folder: folder})
			if err != nil {
				b.Fatal(err)
			}
			entries := make([]consensus.Entry, count)
			for i := range entries {
				entries[i] = consensus.Entry{Term: 1, Index: uint64(i + 1), Data: make([]byte, 200)}
			}
			if err := log.Append(nil, entries); err != nil {
				b.Fatal(err)
			}
			_ = log.Close()
			for b.Loop() {
				opened, recovered, err := Open(Options{Folder: folder})
				if err != nil || len(recovered.Entries) != count {
					b.Fatalf("%v, %d entries", err, len(recovered.Entries))
				}
				_ = opened.Close()
			}
		})
	}
}
