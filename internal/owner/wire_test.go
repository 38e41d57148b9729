package owner

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Requests and responses are stored in the logs of keepers and exchanged with processes of other
// versions, so their encoding must not change.
func TestEncodingIsStable(t *testing.T) {
	for _, x := range []struct {
		value any
		want  string
	}{
		{LeaseRequest{Session: 7, Seq: 2, Name: "p", Claims: []LeaseClaim{{Lease: "d", Token: 3, Drop: true}}},
			"a46753657373696f6e076353657102644e616d6561706644757469657381a36444757479616465546f6b656e036444726f70f5"},
		{LeaseResponse{Session: 7, Seq: 2, Leases: []LeaseStatus{{Lease: "d", Token: 3, Mine: true, Holder: "p"}}},
			"a36753657373696f6e07635365710264546f6c6481a46444757479616465546f6b656e03644d696e65f566486f6c6465726170"},
	} {
		encoded, err := cbor.Marshal(x.value)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(encoded); got != x.want {
			t.Errorf("%T is encoded as %s, want %s", x.value, got, x.want)
		}
	}
}
