package vnet

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the draws of the property tests: a test's result must not vary. To search further, give -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
