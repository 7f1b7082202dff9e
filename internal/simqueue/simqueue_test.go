package simqueue

import (
	"os"
	"testing"
)

// BenchmarkTables prints the tables for 3 and 2 slots:
//
//	go test -run '^$' -bench Tables -benchtime 1x ./internal/simqueue
func BenchmarkTables(b *testing.B) {
	for range b.N {
		for _, slots := range []int{3, 2} {
			if err := Print(os.Stdout, 1, slots, testing.Verbose()); err != nil {
				b.Fatal(err)
			}
		}
	}
}
