package keeper

import (
	"encoding/binary"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
)

// BenchmarkDurable measures the time until three entries are durable, in the log of this package
// and in bbolt, the alternative: go test -run '^$' -bench Durable ./internal/keeper
func BenchmarkDurable(b *testing.B) {
	entries := append(append(entry(2), entry(3)...), entry(4)...)
	b.Run("log", func(b *testing.B) {
		dir := filepath.Join(b.TempDir(), "keeper")
		if err := Create(dir, 9); err != nil {
			b.Fatal(err)
		}
		posted := make(chan func(), 1)
		w, _, err := OpenFile(dir, func(f func()) { posted <- f })
		if err != nil {
			b.Fatal(err)
		}
		defer w.Close()
		for b.Loop() {
			w.Append(entries, func(err error) {
				if err != nil {
					b.Fatal(err)
				}
			})
			(<-posted)()
		}
	})
	b.Run("bbolt", func(b *testing.B) {
		db, err := bbolt.Open(filepath.Join(b.TempDir(), "bolt"), 0o600, nil)
		if err != nil {
			b.Fatal(err)
		}
		defer db.Close()
		var key [8]byte
		n := uint64(0)
		for b.Loop() {
			err := db.Update(func(tx *bbolt.Tx) error {
				t, err := tx.CreateBucketIfNotExists([]byte("log"))
				if err != nil {
					return err
				}
				for range 3 {
					n++
					binary.BigEndian.PutUint64(key[:], n)
					if err := t.Put(key[:], entries[:len(entries)/3]); err != nil {
						return err
					}
				}
				return nil
			})
			if err != nil {
				b.Fatal(err)
			}
		}
	})
}
