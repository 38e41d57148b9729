package vnet

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests so that their results do not vary. A different seed
// can be given with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
